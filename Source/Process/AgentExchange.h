#pragma once

#include "Admission/Commands/AdmitRequest.h"
#include "Admission/TargetPort.h"
#include "Process/TargetRun.h"

#include <mutex>

namespace Lavenderloft::Process {

// The agent's side of one exchange with a router. Admission decides; this class applies the decision.
class AgentExchange final : public Admission::TargetExchange, public Admission::Waiter, public std::enable_shared_from_this<AgentExchange> {
public:
    AgentExchange(std::shared_ptr<TargetContext>, std::shared_ptr<Admission::ResponseWriter>);

    void admit(Admission::AdmissionRequest) override;
    void head(Admission::RequestHead) override;
    void body(std::string bytes) override;
    void endOfBody() override;
    void cancelled() override;

    void granted(const Admission::Permit&) override;
    void refused(const Admission::Refusal&) override;

private:
    enum class Phase {
        Opened,
        // Waits for a permit or the request body.
        Admitted,
        Running,
        Ended,
    };

    bool hasEnded();
    // Marks the exchange as ended and returns the writer for its final message; null if it had already ended.
    std::shared_ptr<Admission::ResponseWriter> endExchange();
    void endWithRefusal(const Admission::Refusal&);
    void replay(const std::shared_ptr<const Admission::StoredResponse>&);
    void run();
    Http::HttpRequest makeTargetRequest();
    void countRefusal(const Admission::Refusal&);

    std::shared_ptr<TargetContext> m_context;
    std::mutex m_lock;
    Phase m_phase = Phase::Opened;
    std::shared_ptr<Admission::ResponseWriter> m_writer;
    std::shared_ptr<TargetRun> m_run;
    Admission::AdmissionRequest m_request;
    // Digest served by the engine when the request was admitted.
    std::string m_admittedDigest;
    Admission::RequestHead m_head;
    std::string m_body;
};

} // namespace Lavenderloft::Process
