#include "Bench/RolloutStore.h"

#include "Http/HttpServer.h"

#include <boost/asio.hpp>
#include <thread>

namespace Lavenderloft::Bench {

namespace asio = boost::asio;

namespace {

    // Smaller than a chunk, so that concurrent receivers share the origin's link fairly.
    constexpr size_t partBytes = 16 * 1024;
    constexpr std::string_view userAgentPrefix = "lavenderloft/";

    std::string receiverVm(const Http::HttpRequest& request)
    {
        auto agent = Http::headerValue(request.headers, "User-Agent");
        return agent.starts_with(userAgentPrefix) ? std::string(agent.substr(userAgentPrefix.size())) : std::string();
    }

    // Runs functions after a delay on a dedicated thread.
    class TimerThread {
    public:
        TimerThread()
            : m_work(asio::make_work_guard(m_context))
            , m_thread([this] { m_context.run(); })
        {
        }

        ~TimerThread()
        {
            m_context.stop();
            m_thread.join();
        }

        void runAfter(Base::Duration delay, std::function<void()> function)
        {
            auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
            timer->async_wait([timer, function = std::move(function)](boost::system::error_code) { function(); });
        }

    private:
        asio::io_context m_context;
        asio::executor_work_guard<asio::io_context::executor_type> m_work;
        std::thread m_thread;
    };

} // namespace

struct RolloutStore::State {
    State(std::shared_ptr<RolloutLinks> storeLinks, const Base::Clock& storeClock)
        : links(std::move(storeLinks))
        , clock(storeClock)
    {
    }

    // Inverts the first byte if corruption was requested for the next chunk.
    std::string corruptIfRequested(std::string bytes)
    {
        std::lock_guard guard(lock);
        if (corruptChunks && !bytes.empty()) {
            --corruptChunks;
            bytes[0] = static_cast<char>(~bytes[0]);
        }
        return bytes;
    }

    std::shared_ptr<RolloutLinks> links;
    const Base::Clock& clock;
    std::mutex lock;
    std::map<std::string, std::string> contents;
    std::set<std::string> partitionedRegions;
    unsigned corruptChunks = 0;
    std::unique_ptr<TimerThread> timerThread = std::make_unique<TimerThread>();
    std::unique_ptr<Http::HttpServer> server;
};

namespace {

    // Sends a body in parts, delayed by the rates of the simulated links.
    template <typename State>
    void sendPaced(const std::shared_ptr<State>& state, const std::shared_ptr<Http::ResponseStream>& stream, const std::shared_ptr<const std::string>& body, const std::string& vm, size_t offset)
    {
        if (offset >= body->size())
            return stream->finish();
        auto count = std::min(partBytes, body->size() - offset);
        auto delay = state->links->reserveFromOrigin(vm, count, state->clock.now());
        state->timerThread->runAfter(delay, [state, stream, body, vm, offset, count] {
            stream->write(body->substr(offset, count), [state, stream, body, vm, offset, count](bool ok) {
                if (ok)
                    sendPaced(state, stream, body, vm, offset + count);
            });
        });
    }

    template <typename State>
    class StoreHandler final : public Http::HttpHandler {
    public:
        explicit StoreHandler(std::weak_ptr<State> state)
            : m_state(std::move(state))
        {
        }

        void handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream) override
        {
            auto state = m_state.lock();
            if (!state)
                return stream->abort();
            auto vm = receiverVm(request);
            auto region = state->links->regionOf(vm);
            std::unique_lock guard(state->lock);
            if (region.empty() || state->partitionedRegions.contains(region)) {
                guard.unlock();
                return stream->respond({ 503, {}, "" });
            }
            auto entry = state->contents.find(request.target);
            if (entry == state->contents.end()) {
                guard.unlock();
                return stream->respond({ 404, {}, "" });
            }
            auto body = entry->second;
            guard.unlock();
            if (request.target.starts_with("/v1/chunks/"))
                body = state->corruptIfRequested(std::move(body));
            stream->start(200, {});
            sendPaced(state, stream, std::make_shared<const std::string>(std::move(body)), vm, 0);
        }

    private:
        std::weak_ptr<State> m_state;
    };

} // namespace

RolloutStore::RolloutStore(std::shared_ptr<RolloutLinks> links, const Base::Clock& clock)
    : m_state(std::make_shared<State>(std::move(links), clock))
{
    m_state->server = std::make_unique<Http::HttpServer>(Http::HttpServerOptions {}, std::make_shared<StoreHandler<State>>(m_state));
}

RolloutStore::~RolloutStore()
{
    m_state->server->stop();
    // Pending timers refer to the state, so their thread must end before it is destroyed.
    auto timerThread = std::move(m_state->timerThread);
    timerThread.reset();
}

void RolloutStore::addModel(const Model& model)
{
    std::lock_guard guard(m_state->lock);
    m_state->contents["/v1/manifests/" + model.digest] = model.document;
    for (auto& [digest, bytes] : model.chunks)
        m_state->contents["/v1/chunks/" + digest] = bytes;
}

void RolloutStore::setPartitionedRegions(std::set<std::string> regions)
{
    std::lock_guard guard(m_state->lock);
    m_state->partitionedRegions = std::move(regions);
}

void RolloutStore::corruptNextChunks(unsigned count)
{
    std::lock_guard guard(m_state->lock);
    m_state->corruptChunks = count;
}

std::string RolloutStore::address() const
{
    return "127.0.0.1:" + std::to_string(m_state->server->port());
}

} // namespace Lavenderloft::Bench
