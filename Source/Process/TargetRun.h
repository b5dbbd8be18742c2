#pragma once

#include "Admission/TargetPort.h"
#include "Process/TargetContext.h"

#include <mutex>

namespace Lavenderloft::Process {

// Runs one request at the target and streams the response to the writer.
class TargetRun final : public Http::ResponseSink, public std::enable_shared_from_this<TargetRun> {
public:
    TargetRun(std::shared_ptr<TargetContext>, Admission::AdmissionRequest, std::string admittedDigest, std::shared_ptr<Admission::ResponseWriter>);

    void start(Http::HttpRequest);

    // Called when the router has disconnected. Cancels a repeatable call; any other runs to completion, so that its
    // response can be stored.
    void abandon();

    void head(unsigned status, Http::HttpHeaders) override;
    void data(std::string bytes, std::function<void()> resume) override;
    void end(Base::Result<Base::Done, Http::HttpError>) override;

private:
    bool isKeyed() const { return m_context->kind == Settings::TargetKind::Service && !m_request.repeatable; }
    void cancelCall();
    void resumeReading();
    void recordBytes(const std::string&);
    Admission::ResponseEnd makeResponseEnd(const Base::Result<Base::Done, Http::HttpError>&) const;
    // Whether the engine must be polled before it receives more requests.
    bool indicatesEngineFault(const Admission::ResponseEnd&) const;
    void finish(const Admission::ResponseEnd&);

    std::shared_ptr<TargetContext> m_context;
    Admission::AdmissionRequest m_request;
    std::string m_admittedDigest;

    std::mutex m_lock;
    // Null once the exchange has ended.
    std::shared_ptr<Admission::ResponseWriter> m_writer;
    std::shared_ptr<Http::HttpCall> m_call;
    std::function<void()> m_resume;
    bool m_isCancelled = false;

    // Used only by the client's callbacks, which are serialised.
    Admission::StoredResponse m_response;
    bool m_isResponseTooLarge = false;
    bool m_hasDigestMismatch = false;
    // HTTP status of an engine error; 0 if there is none.
    unsigned m_engineErrorStatus = 0;
    std::string m_tail;
    uint64_t m_totalBytes = 0;
};

} // namespace Lavenderloft::Process
