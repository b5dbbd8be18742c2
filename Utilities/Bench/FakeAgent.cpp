#include "Bench/FakeAgent.h"

#include "Base/SeededRandom.h"
#include "lavenderloft.grpc.pb.h"

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <mutex>
#include <thread>

namespace Lavenderloft::Bench {

namespace asio = boost::asio;
namespace v1 = ::lavenderloft::v1;

namespace {

    // Less than the clients' keep-alive interval, so that the server accepts their pings.
    constexpr int minimumPingIntervalMs = 1000;
    constexpr uint32_t permitLifetimeMs = 2000;
    constexpr uint32_t retryAfterMs = 50;

    // Runs delayed work of all agents of the process on one thread.
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

        static TimerThread& instance()
        {
            static TimerThread thread;
            return thread;
        }

        void runAfter(std::chrono::microseconds delay, std::function<void()> work)
        {
            auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
            timer->async_wait([timer, work = std::move(work)](boost::system::error_code) { work(); });
        }

    private:
        asio::io_context m_context;
        asio::executor_work_guard<asio::io_context::executor_type> m_work;
        std::thread m_thread;
    };

    // Completion callback of a request for a slot.
    using GrantCallback = std::function<void(bool granted)>;

} // namespace

struct FakeAgent::State {
    explicit State(FakeAgentOptions agentOptions)
        : options(std::move(agentOptions))
        , random(options.seed)
        , limit(options.limit)
    {
    }

    std::chrono::microseconds drawServiceTime()
    {
        auto factor = 1 + options.serviceTimeJitter * (2 * random.nextFraction() - 1);
        return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(options.serviceTime.count()) * factor));
    }

    const FakeAgentOptions options;
    Base::SeededRandom random;
    mutable std::mutex lock;
    unsigned limit;
    unsigned running = 0;
    unsigned streamsToAbort = 0;
    bool out = false;
    std::array<std::deque<GrantCallback>, DesiredState::priorityClassCount> queues;
    FakeAgentCounts counts;
    std::map<std::string, unsigned> runs;

    size_t queued() const
    {
        size_t total = 0;
        for (auto& queue : queues)
            total += queue.size();
        return total;
    }

    Membership::TargetLoad loadNow() const
    {
        std::lock_guard guard(lock);
        return load();
    }

    // Requires the lock.
    Membership::TargetLoad load() const
    {
        return { running, limit, static_cast<unsigned>(queued()), 0, !out };
    }

    // Grants a slot at once, queues the request, or refuses it if the queue is full.
    void requestSlot(size_t priorityClass, GrantCallback grant)
    {
        std::unique_lock guard(lock);
        if (out || (running >= limit && queued() >= options.queueLimit)) {
            ++counts.refusals;
            guard.unlock();
            return grant(false);
        }
        if (running >= limit) {
            queues[std::min(priorityClass, queues.size() - 1)].push_back(std::move(grant));
            return;
        }
        recordGrant();
        guard.unlock();
        grant(true);
    }

    void recordGrant()
    {
        ++running;
        ++counts.permits;
        counts.lastPermit = std::chrono::steady_clock::now();
    }

    // Frees a slot and grants it to the first queued request of the highest priority class.
    void release()
    {
        std::unique_lock guard(lock);
        --running;
        if (running >= limit)
            return;
        for (auto& queue : queues) {
            if (queue.empty())
                continue;
            auto grant = std::move(queue.front());
            queue.pop_front();
            recordGrant();
            guard.unlock();
            return grant(true);
        }
    }

    void setOut(bool isOut)
    {
        std::vector<GrantCallback> refused;
        {
            std::lock_guard guard(lock);
            out = isOut;
            for (auto& queue : queues) {
                if (isOut)
                    std::move(queue.begin(), queue.end(), std::back_inserter(refused));
                if (isOut)
                    queue.clear();
            }
            counts.refusals += refused.size();
        }
        for (auto& grant : refused)
            grant(false);
    }

    bool takeStreamToAbort()
    {
        std::lock_guard guard(lock);
        if (!streamsToAbort)
            return false;
        --streamsToAbort;
        return true;
    }

    void recordRun(const std::string& sequence)
    {
        std::lock_guard guard(lock);
        ++counts.runs;
        if (!sequence.empty() && ++runs[sequence] == 2)
            ++counts.doubled;
    }
};

namespace {

    v1::TargetLoad encodeLoad(const Membership::TargetLoad& load)
    {
        v1::TargetLoad encoded;
        encoded.set_running(load.running);
        encoded.set_limit(load.limit);
        encoded.set_queued(load.queued);
        encoded.set_accepting(load.accepting);
        return encoded;
    }

    // One Execute stream. Owned jointly by gRPC, until OnDone, and by pending timers and grants.
    template <typename State>
    class Execution final : public grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteResponse>, public std::enable_shared_from_this<Execution<State>> {
    public:
        explicit Execution(std::shared_ptr<State> state)
            : m_state(std::move(state))
        {
        }

        void begin()
        {
            m_self = this->shared_from_this();
            this->StartRead(&m_request);
        }

        void OnReadDone(bool ok) override
        {
            if (!ok)
                return finish(grpc::Status::CANCELLED);
            if (m_request.has_admit())
                return admit();
            if (m_request.has_head()) {
                for (auto& header : m_request.head().headers()) {
                    if (header.name() == "X-Sequence")
                        m_sequence = header.value();
                }
            }
            if (m_request.has_end_of_body())
                return run();
            this->StartRead(&m_request);
        }

        void OnWriteDone(bool ok) override
        {
            if (!ok)
                return finish(grpc::Status::CANCELLED);
            if (m_response.has_permit())
                return this->StartRead(&m_request);
            if (m_response.has_refusal() || m_response.has_end())
                return finish(grpc::Status::OK);
            writeNext();
        }

        void OnCancel() override { finish(grpc::Status::CANCELLED); }

        void OnDone() override
        {
            release();
            auto self = std::move(m_self);
        }

    private:
        void admit()
        {
            m_attemptId = m_request.admit().attempt_id();
            m_state->requestSlot(m_request.admit().priority_class(), [self = this->shared_from_this()](bool granted) { self->respondToAdmission(granted); });
        }

        void respondToAdmission(bool granted)
        {
            std::unique_lock guard(m_lock);
            m_holdsSlot = granted;
            if (m_finished) {
                guard.unlock();
                return release();
            }
            m_response.Clear();
            if (granted) {
                m_response.mutable_permit()->set_permit_id(m_attemptId);
                m_response.mutable_permit()->set_lifetime_ms(permitLifetimeMs);
                m_response.mutable_permit()->set_agent_incarnation(1);
            } else {
                auto* refusal = m_response.mutable_refusal();
                refusal->set_reason(m_state->loadNow().accepting ? v1::REFUSAL_REASON_AT_LIMIT : v1::REFUSAL_REASON_DATA_CENTRE_OUT);
                refusal->set_message("no free slot");
                refusal->set_retry_elsewhere(true);
                refusal->set_retry_after_ms(retryAfterMs);
            }
            *m_response.mutable_load() = encodeLoad(m_state->loadNow());
            this->StartWrite(&m_response);
        }

        void run()
        {
            m_state->recordRun(m_sequence);
            if (m_state->takeStreamToAbort())
                return finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stream aborted by FakeAgent"));
            if (m_state->options.serviceTime.count() == 0)
                return writeNext();
            TimerThread::instance().runAfter(m_state->drawServiceTime(), [self = this->shared_from_this()] { self->writeNext(); });
        }

        void writeNext()
        {
            std::lock_guard guard(m_lock);
            if (m_finished)
                return;
            m_response.Clear();
            if (!m_headSent) {
                m_headSent = true;
                m_response.mutable_head()->set_attempt_id(m_attemptId);
                m_response.mutable_head()->set_status(200);
                m_response.mutable_head()->set_weights_digest(m_state->options.weightsDigest);
            } else if (m_partsSent < m_state->options.parts) {
                ++m_partsSent;
                m_response.mutable_data()->set_attempt_id(m_attemptId);
                m_response.mutable_data()->set_bytes(std::string(m_state->options.partBytes, 'x'));
            } else {
                m_response.mutable_end()->set_attempt_id(m_attemptId);
                m_response.mutable_end()->set_status(v1::END_STATUS_COMPLETE);
                m_response.mutable_end()->set_total_bytes(m_state->options.parts * m_state->options.partBytes);
                *m_response.mutable_load() = encodeLoad(m_state->loadNow());
            }
            this->StartWrite(&m_response);
        }

        void finish(grpc::Status status)
        {
            {
                std::lock_guard guard(m_lock);
                if (std::exchange(m_finished, true))
                    return;
            }
            this->Finish(std::move(status));
        }

        void release()
        {
            {
                std::lock_guard guard(m_lock);
                if (!std::exchange(m_holdsSlot, false))
                    return;
            }
            m_state->release();
        }

        std::shared_ptr<State> m_state;
        std::shared_ptr<Execution> m_self;
        v1::ExecuteRequest m_request;
        v1::ExecuteResponse m_response;
        std::string m_attemptId;
        std::string m_sequence;
        std::mutex m_lock;
        unsigned m_partsSent = 0;
        bool m_headSent = false;
        bool m_holdsSlot = false;
        bool m_finished = false;
    };

} // namespace

struct FakeAgent::Server {
    class Service final : public v1::TargetService::CallbackService {
    public:
        explicit Service(std::shared_ptr<State> state)
            : m_state(std::move(state))
        {
        }

        grpc::ServerBidiReactor<v1::ExecuteRequest, v1::ExecuteResponse>* Execute(grpc::CallbackServerContext*) override
        {
            auto execution = std::make_shared<Execution<State>>(m_state);
            execution->begin();
            return execution.get();
        }

        grpc::ServerUnaryReactor* ResolveAttempt(grpc::CallbackServerContext* context, const v1::ResolveAttemptRequest*, v1::ResolveAttemptResponse* response) override
        {
            response->set_outcome(v1::ATTEMPT_OUTCOME_UNKNOWN);
            response->set_agent_incarnation(1);
            auto* reactor = context->DefaultReactor();
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }

    private:
        std::shared_ptr<State> m_state;
    };

    explicit Server(std::shared_ptr<State> state)
        : service(std::move(state))
    {
        grpc::ServerBuilder builder;
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, minimumPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&service);
        server = builder.BuildAndStart();
    }

    ~Server()
    {
        server->Shutdown(std::chrono::system_clock::now());
        server->Wait();
    }

    Service service;
    int port = 0;
    std::unique_ptr<grpc::Server> server;
};

FakeAgent::FakeAgent(FakeAgentOptions options)
    : m_state(std::make_shared<State>(std::move(options)))
    , m_server(std::make_unique<Server>(m_state))
{
}

FakeAgent::~FakeAgent() = default;

std::string FakeAgent::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port);
}

Membership::TargetLoad FakeAgent::load() const
{
    return m_state->loadNow();
}

FakeAgentCounts FakeAgent::counts() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->counts;
}

std::map<std::string, unsigned> FakeAgent::runs() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->runs;
}

void FakeAgent::setOut(bool out)
{
    m_state->setOut(out);
}

void FakeAgent::abortNextStreams(unsigned count)
{
    std::lock_guard guard(m_state->lock);
    m_state->streamsToAbort = count;
}

void FakeAgent::setLimit(unsigned limit)
{
    std::lock_guard guard(m_state->lock);
    m_state->limit = limit;
}

} // namespace Lavenderloft::Bench
