#include "Standin/PlainService.h"

#include "Base/Digest.h"
#include "Standin/Commands/PlainServiceCommands.h"
#include "Standin/Queries/PlainServiceQueries.h"
#include "Standin/StandinFront.h"

namespace Lavenderloft::Standin {

class PlainService::Front final : public StandinFront {
public:
    explicit Front(PlainServiceOptions options)
        : StandinFront(options.listen)
        , m_options(std::move(options))
    {
        m_state.delay = m_options.delay;
    }

    PlainServiceState& state() { return m_state; }

    void setSilent(bool silent)
    {
        m_state.silent = silent;
        if (silent)
            return;
        for (auto& stream : takeSilenced())
            stream->abort();
    }

    void serve(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (Base::succeeded(Commands::takeDropBeforeRun(m_state)))
            return stream->abort();
        run(request, stream);
    }

private:
    void dropWaiting() override { takeSilenced(); }

    void run(const Http::HttpRequest& request, const Stream& stream)
    {
        std::string callId(Http::headerValue(request.headers, "X-Call-Id"));
        if (callId.empty())
            callId = Base::sha256(request.body);
        Commands::recordExecution(m_state, callId);
        auto delay = m_state.delay.load();
        if (delay.count() == 0)
            return answer(callId, request, stream);
        timer().runAfter(delay, [weak = weakFrom(this), callId, request, stream] {
            if (auto self = weak.lock())
                self->answer(callId, request, stream);
        });
    }

    void answer(const std::string& callId, const Http::HttpRequest& request, const Stream& stream)
    {
        if (Base::succeeded(Commands::takeDropAfterRun(m_state)))
            return stream->abort();
        if (m_state.silent)
            return silence(stream);
        auto execution = Queries::executionsOf(m_state, callId);
        respondJson(stream, 200, { { "callId", callId }, { "execution", execution }, { "method", request.method }, { "target", request.target }, { "body", request.body } });
    }

    void silence(const Stream& stream)
    {
        std::lock_guard guard(m_silencedLock);
        m_silenced.push_back(stream);
    }

    std::vector<std::shared_ptr<Http::ResponseStream>> takeSilenced()
    {
        std::lock_guard guard(m_silencedLock);
        return std::exchange(m_silenced, {});
    }

    void control(const RequestPath& path, const Http::HttpRequest& request, const Stream& stream) override
    {
        if (path.segment(1) == "executions" && request.method == "GET") {
            auto summary = Queries::executionSummary(m_state);
            return respondJson(stream, 200, { { "total", summary.total }, { "maximum", summary.maximum }, { "calls", summary.calls } });
        }
        auto body = parseObject(request.body);
        if (path.segment(1) != "faults" || request.method != "PUT" || !body)
            return respondNotFound(stream, request);
        if (body->contains("delayMs"))
            m_state.delay = std::chrono::milliseconds(body->at("delayMs").get<uint32_t>());
        if (body->contains("dropBeforeRun"))
            m_state.dropsBeforeRun = body->at("dropBeforeRun");
        if (body->contains("dropAfterRun"))
            m_state.dropsAfterRun = body->at("dropAfterRun");
        if (body->contains("silent"))
            setSilent(body->at("silent"));
        respondDone(stream);
    }

    PlainServiceOptions m_options;
    PlainServiceState m_state;
    std::mutex m_silencedLock;
    std::vector<std::shared_ptr<Http::ResponseStream>> m_silenced;
};

PlainService::PlainService(PlainServiceOptions options)
    : m_front(std::make_shared<Front>(std::move(options)))
{
    m_front->start();
}

PlainService::~PlainService()
{
    m_front->stop();
}

uint16_t PlainService::port() const
{
    return m_front->port();
}

void PlainService::setDelay(std::chrono::milliseconds delay)
{
    m_front->state().delay = delay;
}

void PlainService::dropBeforeRun(int calls)
{
    m_front->state().dropsBeforeRun = calls;
}

void PlainService::dropAfterRun(int calls)
{
    m_front->state().dropsAfterRun = calls;
}

void PlainService::setSilent(bool silent)
{
    m_front->setSilent(silent);
}

uint64_t PlainService::executionsOf(const std::string& callId) const
{
    return Queries::executionsOf(m_front->state(), callId);
}

ExecutionSummary PlainService::executions() const
{
    return Queries::executionSummary(m_front->state());
}

} // namespace Lavenderloft::Standin
