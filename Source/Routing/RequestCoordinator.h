#pragma once

#include "Routing/AttemptSequence.h"
#include "Routing/RequestEnding.h"
#include "Routing/RequestLog.h"
#include "Routing/RequestState.h"
#include "Routing/ResponseForwarder.h"
#include "Routing/RoutingContext.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Lavenderloft::Routing {

// Routes one request to a target and the response back to the caller. A state machine driven by the events of
// the current attempt, the caller's disconnection and a timer, which it passes to the parts that continue or end
// the request. Thread-safe; no lock is held during calls to channels and writers.
class RequestCoordinator final : public std::enable_shared_from_this<RequestCoordinator>, private AttemptOwner {
public:
    RequestCoordinator(std::shared_ptr<RoutingContext>, LiveRequest, std::shared_ptr<ResponseWriter>);

    // Starts the first attempt. The request stays in RunningRequests until it ends.
    void start();

    void callerDisconnected();

    // Ends the request if its deadline has passed, and starts a scheduled attempt that is due.
    void tick(Base::TimePoint now);

    // Ends the response because its reader has blocked for the longest time.
    void abortSlowReader();

    // Ends the request because the router stops: with an error, or by aborting a response that has begun.
    void abandon();

private:
    class AttemptSink;

    using Lock = RequestState::Lock;
    using Phase = RequestState::Phase;

    std::shared_ptr<AttemptEvents> makeEvents(const std::string& attemptId) override;
    std::function<void(Resolution)> makeResolutionHandler(const std::string& attemptId) override;

    // Events of the attempt with the ID.
    void permitted(const std::string& attemptId, const Permit&);
    void refused(const std::string& attemptId, const Refusal&);
    void head(const std::string& attemptId, ResponseHead);
    void data(const std::string& attemptId, ResponseData, std::function<void()> resume);
    void ended(const std::string& attemptId, const ResponseEnd&);
    void closed(const std::string& attemptId, const std::string& reason);
    void loadReported(const std::string& attemptId, const Membership::TargetLoad&);
    void resolved(const std::string& attemptId, const Resolution&);

    // Called with the lock held. Releases it before calling the attempt.
    void rejectResponse(Lock, const std::string& reason);

    bool isCurrent(const std::string& attemptId) const { return m_state.attempt.isOpen() && m_state.attempt.hasId(attemptId); }
    void recordEngineCrash();
    void recordBrokenAttempt(const std::string& reason);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const LiveRequest m_request;
    const RequestLog m_log;
    const std::shared_ptr<ResponseWriter> m_writer;
    const std::shared_ptr<ResponseForwarder> m_forwarder;
    RequestState m_state;
    RequestEnding m_ending;
    AttemptSequence m_attempts;
};

} // namespace Lavenderloft::Routing
