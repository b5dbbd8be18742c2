#include "Transport/TargetServiceServer.h"

#include "Transport/TargetMessages.h"

#include "lavenderloft.grpc.pb.h"

#include <deque>
#include <grpcpp/grpcpp.h>
#include <mutex>

namespace Lavenderloft::Transport {

namespace {

    // The server side of one Execute stream. Owns itself until OnDone; the exchange may hold a reference for longer.
    class ExecuteReactor final : public grpc::ServerBidiReactor<protocol::ExecuteRequest, protocol::ExecuteResponse>, public Admission::ResponseWriter, public std::enable_shared_from_this<ExecuteReactor> {
    public:
        explicit ExecuteReactor(const Base::Clock& clock)
            : m_clock(clock)
        {
        }

        void start(Admission::TargetPort& port)
        {
            m_self = shared_from_this();
            m_exchange = port.open(shared_from_this());
            StartRead(&m_request);
        }

        void permit(const Admission::Permit& permit, const Membership::TargetLoad& load) override
        {
            enqueue({ encodePermit(permit, load, m_clock.now()), nullptr, false });
        }

        void refuse(const Admission::Refusal& refusal, const Membership::TargetLoad& load) override
        {
            enqueue({ encodeRefusal(refusal, load), nullptr, true });
        }

        void head(const Admission::ResponseHead& head) override
        {
            enqueue({ encodeResponseHead(m_attemptId, head), nullptr, false });
        }

        void data(std::string bytes, std::function<void()> resume) override
        {
            enqueue({ encodeData(m_attemptId, std::move(bytes)), std::move(resume), false });
        }

        void end(const Admission::ResponseEnd& end, const Membership::TargetLoad& load) override
        {
            enqueue({ encodeEnd(m_attemptId, end, load), nullptr, true });
        }

        void OnReadDone(bool ok) override
        {
            if (!ok) {
                // A router that closes its side before the end of the body cancels the request.
                if (!m_bodyEnded)
                    cancelExchange();
                return;
            }
            if (!dispatchMessage())
                return finish(grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, "the messages of an exchange are admit, head, body and end_of_body, in this order"));
            m_request.Clear();
            StartRead(&m_request);
        }

        void OnWriteDone(bool ok) override
        {
            std::function<void()> resume;
            {
                std::lock_guard guard(m_lock);
                resume = std::move(m_currentWrite.resume);
                m_isWriting = false;
                if (!ok) {
                    m_isBroken = true;
                    m_writeQueue.clear();
                }
                writeNext();
            }
            if (!ok)
                return cancelExchange();
            if (resume)
                resume();
        }

        void OnCancel() override { cancelExchange(); }

        void OnDone() override
        {
            m_exchange->cancelled();
            m_self.reset();
        }

    private:
        struct Outgoing {
            protocol::ExecuteResponse message;
            std::function<void()> resume;
            bool isLast = false;
        };

        // Passes the received message to the exchange. Returns false if it is out of order.
        bool dispatchMessage()
        {
            switch (m_request.kind_case()) {
            case protocol::ExecuteRequest::kAdmit:
                if (!m_attemptId.empty() || m_request.admit().attempt_id().empty())
                    return false;
                m_attemptId = m_request.admit().attempt_id();
                m_exchange->admit(decodeAdmit(m_request.admit()));
                return true;
            case protocol::ExecuteRequest::kHead:
                if (m_attemptId.empty() || m_hasHead)
                    return false;
                m_hasHead = true;
                m_exchange->head(decodeHead(m_request.head()));
                return true;
            case protocol::ExecuteRequest::kBody:
                if (!m_hasHead || m_bodyEnded)
                    return false;
                m_exchange->body(std::move(*m_request.mutable_body()));
                return true;
            case protocol::ExecuteRequest::kEndOfBody:
                if (!m_hasHead || m_bodyEnded)
                    return false;
                m_bodyEnded = true;
                m_exchange->endOfBody();
                return true;
            case protocol::ExecuteRequest::KIND_NOT_SET:
                break;
            }
            return false;
        }

        void enqueue(Outgoing outgoing)
        {
            std::lock_guard guard(m_lock);
            if (m_isBroken || m_isFinished)
                return;
            m_writeQueue.push_back(std::move(outgoing));
            writeNext();
        }

        // Requires m_lock.
        void writeNext()
        {
            if (m_isWriting || m_isFinished || m_writeQueue.empty())
                return;
            m_currentWrite = std::move(m_writeQueue.front());
            m_writeQueue.pop_front();
            if (m_currentWrite.isLast) {
                m_isFinished = true;
                StartWriteAndFinish(&m_currentWrite.message, grpc::WriteOptions(), grpc::Status::OK);
                return;
            }
            m_isWriting = true;
            StartWrite(&m_currentWrite.message);
        }

        void cancelExchange()
        {
            m_exchange->cancelled();
            finish(grpc::Status::CANCELLED);
        }

        void finish(const grpc::Status& status)
        {
            std::lock_guard guard(m_lock);
            if (std::exchange(m_isFinished, true))
                return;
            m_writeQueue.clear();
            Finish(status);
        }

        const Base::Clock& m_clock;
        std::shared_ptr<ExecuteReactor> m_self;
        std::shared_ptr<Admission::TargetExchange> m_exchange;
        protocol::ExecuteRequest m_request;
        // Set by the first message received, before any message is written.
        std::string m_attemptId;
        bool m_hasHead = false;
        bool m_bodyEnded = false;
        std::mutex m_lock;
        std::deque<Outgoing> m_writeQueue;
        Outgoing m_currentWrite;
        bool m_isWriting = false;
        bool m_isBroken = false;
        bool m_isFinished = false;
    };

    class TargetServiceServer final : public protocol::TargetService::CallbackService {
    public:
        TargetServiceServer(Admission::TargetPort& port, const Base::Clock& clock)
            : m_port(port)
            , m_clock(clock)
        {
        }

        grpc::ServerBidiReactor<protocol::ExecuteRequest, protocol::ExecuteResponse>* Execute(grpc::CallbackServerContext*) override
        {
            auto reactor = std::make_shared<ExecuteReactor>(m_clock);
            reactor->start(m_port);
            return reactor.get();
        }

        grpc::ServerUnaryReactor* ResolveAttempt(grpc::CallbackServerContext* context, const protocol::ResolveAttemptRequest* request, protocol::ResolveAttemptResponse* response) override
        {
            auto resolution = m_port.resolve(request->attempt_id(), request->permit_id(), request->agent_incarnation());
            response->set_outcome(static_cast<protocol::AttemptOutcome>(resolution.outcome));
            response->set_agent_incarnation(resolution.agentIncarnation);
            auto* reactor = context->DefaultReactor();
            reactor->Finish(grpc::Status::OK);
            return reactor;
        }

    private:
        Admission::TargetPort& m_port;
        const Base::Clock& m_clock;
    };

} // namespace

std::shared_ptr<grpc::Service> makeTargetService(Admission::TargetPort& port, const Base::Clock& clock)
{
    return std::make_shared<TargetServiceServer>(port, clock);
}

} // namespace Lavenderloft::Transport
