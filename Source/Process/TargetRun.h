#pragma once

#include "Admission/TargetPort.h"
#include "Process/TargetContext.h"

#include <mutex>

namespace Lavenderloft::Process {

// One request that runs at the target: passes the answer to the sink, part by part.
class TargetRun final : public Http::ResponseSink, public std::enable_shared_from_this<TargetRun> {
public:
    TargetRun(std::shared_ptr<TargetContext>, Admission::AdmissionRequest, std::string admittedDigest, std::shared_ptr<Admission::ResponseWriter>);

    void start(Http::HttpRequest);

    // The router is gone. A call that may be repeated is cancelled; any other runs to its end, for its answer to be kept.
    void abandon();

    void head(unsigned status, Http::HttpHeaders) override;
    void data(std::string bytes, std::function<void()> resume) override;
    void end(Base::Result<Base::Done, Http::HttpError>) override;

private:
    bool isKeyed() const { return m_context->kind == Settings::TargetKind::Service && !m_request.repeatable; }
    void cancelCall();
    void resumeReading();
    void noteBytes(const std::string&);
    Admission::ResponseEnd judgeEnd(const Base::Result<Base::Done, Http::HttpError>&) const;
    // Whether the answer gives reason to ask the engine before more requests are sent.
    bool isSuspicious(const Admission::ResponseEnd&) const;
    void finish(const Admission::ResponseEnd&);

    std::shared_ptr<TargetContext> m_context;
    Admission::AdmissionRequest m_request;
    std::string m_admittedDigest;

    std::mutex m_lock;
    // Null once the exchange has ended.
    std::shared_ptr<Admission::ResponseWriter> m_sink;
    std::shared_ptr<Http::HttpCall> m_call;
    std::function<void()> m_resume;
    bool m_isCancelled = false;

    // Used by the client's calls only, which come one at a time.
    Admission::StoredResponse m_answer;
    bool m_isAnswerTooLarge = false;
    bool m_hasOtherDigest = false;
    // Status of an engine's own error; zero if there is none.
    unsigned m_engineError = 0;
    std::string m_tail;
    uint64_t m_totalBytes = 0;
};

} // namespace Lavenderloft::Process
