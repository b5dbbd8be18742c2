#pragma once

#include "Routing/AnswerForwarder.h"
#include "Routing/AnswerMatcher.h"
#include "Routing/AttemptFailure.h"
#include "Routing/RoutingContext.h"
#include "Routing/StreamPosition.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Lavenderloft::Routing {

// Carries one request from its caller to a target and the answer back: a state machine whose inputs are
// the events of the current attempt, the caller's departure and the passing of time. Inputs may come
// from any thread; no lock is held during calls to channels and sinks.
class RequestCoordinator final : public std::enable_shared_from_this<RequestCoordinator> {
public:
    RequestCoordinator(std::shared_ptr<RoutingContext>, LiveRequest, std::shared_ptr<ResponseWriter>);

    // Makes the first attempt. The request is in RunningRequests until its end.
    void start();

    // The caller closed its connection.
    void callerDisconnected();

    // Ends the request at its deadline and resumes it after a wait.
    void tick(Base::TimePoint now);

    // Ends the answer because its reader is the one that has blocked longest.
    void abortSlowReader();

    // Ends the request because the router stops before its end.
    void abandon();

private:
    class AttemptSink;

    enum class State {
        // No target is free; a new attempt follows.
        Waiting,
        Admitting,
        // The body was sent.
        Running,
        // The stream broke and the agent was asked for the outcome.
        Resolving,
        Ended,
    };

    using Lock = std::unique_lock<std::mutex>;

    void permitted(const std::string& attemptId, const Permit&);
    void refused(const std::string& attemptId, const Refusal&);
    void head(const std::string& attemptId, ResponseHead);
    void data(const std::string& attemptId, ResponseData, std::function<void()> resume);
    void ended(const std::string& attemptId, const ResponseEnd&);
    void closed(const std::string& attemptId, const std::string& reason);
    void loadReported(const std::string& attemptId, const Membership::TargetLoad&);
    void resolved(const std::string& attemptId, const Resolution&);

    // These take the lock and release it before they call out.
    void beginAttempt(Lock);
    void failQuarantined(Lock, const QuarantineFinding&);
    void openAttempt(Lock, std::shared_ptr<Target>, std::string_view reason);
    void attemptFailed(Lock, const AttemptFailure&);
    void retry(Lock, const AttemptFailure&, bool fromBudget);
    void resumeAnswer(Lock, const AttemptFailure&);
    void rejectAnswer(Lock, const std::string& reason);
    void resolve(Lock);
    void waitOrFail(Lock, const RoutingError&);
    // Forgets which targets were tried, and waits.
    void startNewRound(Lock, Base::Duration pause, const std::string& reason);
    // Makes the next attempt after the pause.
    void wait(Lock, Base::Duration pause, const std::string& reason);
    void fail(Lock, RoutingError);
    void cut(Lock, const std::string& reason);
    void completeAnswer(Lock);

    bool isCurrent(const std::string& attemptId) const;
    bool isSent() const { return m_state == State::Running; }
    void noteCrash();
    void recordBreak(const std::string& reason);

    // Ends the attempt's bookkeeping and returns it, so that it can be cancelled without the lock.
    std::shared_ptr<Attempt> leaveAttempt();

    // Ends the request; returns the attempt to cancel.
    std::shared_ptr<Attempt> end(const char* result);

    void dropFrame(const char* frame);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const LiveRequest m_request;
    const std::shared_ptr<ResponseWriter> m_sink;
    const std::shared_ptr<AnswerForwarder> m_forwarder;
    const Base::TimePoint m_startedAt;

    std::mutex m_lock;
    State m_state = State::Waiting;
    Base::TimePoint m_resumeAt;
    Targets m_tried;
    // Those of the tried targets that refused.
    Targets m_refused;
    unsigned m_attempts = 0;
    unsigned m_breaks = 0;
    unsigned m_loadRefusals = 0;
    unsigned m_resumes = 0;
    bool m_mayHaveRun = false;
    bool m_answerStarted = false;
    bool m_callerDisconnected = false;

    // The current attempt.
    std::string m_attemptId;
    std::shared_ptr<Target> m_target;
    std::shared_ptr<TargetChannel> m_channel;
    std::shared_ptr<Attempt> m_attempt;
    Permit m_permit;
    AnswerMatcher m_matcher;

    // Head of the answer that the caller gets, and what has been forwarded of it.
    ResponseHead m_head;
    StreamPosition m_position;
};

} // namespace Lavenderloft::Routing
