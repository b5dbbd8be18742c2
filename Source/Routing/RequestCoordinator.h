#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/ResponseForwarder.h"
#include "Routing/ResponseMatcher.h"
#include "Routing/RoutingContext.h"
#include "Routing/StreamPosition.h"

#include <functional>
#include <memory>
#include <mutex>

namespace Lavenderloft::Routing {

// Routes one request to a target and the response back to the caller. A state machine driven by the events of
// the current attempt, the caller's disconnection and a timer. Thread-safe; no lock is held during calls to
// channels and writers.
class RequestCoordinator final : public std::enable_shared_from_this<RequestCoordinator> {
public:
    RequestCoordinator(std::shared_ptr<RoutingContext>, LiveRequest, std::shared_ptr<ResponseWriter>);

    // Starts the first attempt. The request stays in RunningRequests until it ends.
    void start();

    void callerDisconnected();

    // Ends the request if its deadline has passed, and starts a scheduled attempt that is due.
    void tick(Base::TimePoint now);

    // Ends the response because its reader has blocked for the longest time.
    void abortSlowReader();

    // Ends the request because the router stops.
    void abandon();

private:
    class AttemptSink;

    enum class State {
        // Between two attempts.
        Waiting,
        Admitting,
        // The request was sent.
        Running,
        // The stream broke, and the agent was asked for the outcome.
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

    // Called with the lock held. They release it before calling channels, attempts or the writer.
    void beginAttempt(Lock);
    void failQuarantined(Lock, const QuarantineStatus&);
    void openAttempt(Lock, std::shared_ptr<Target>, std::string_view reason);
    void attemptFailed(Lock, const AttemptFailure&);
    void retry(Lock, const AttemptFailure&, bool fromBudget);
    void resumeResponse(Lock, const AttemptFailure&);
    void rejectResponse(Lock, const std::string& reason);
    void resolve(Lock);
    void retryLaterOrFail(Lock, const RoutingError&);
    // Clears the list of targets tried and schedules an attempt.
    void startNewRound(Lock, Base::Duration delay, const std::string& reason);
    void scheduleAttempt(Lock, Base::Duration delay, const std::string& reason);
    void fail(Lock, RoutingError);
    void abortResponse(Lock, const std::string& reason);
    void completeResponse(Lock);

    bool isCurrent(const std::string& attemptId) const;
    bool isSent() const { return m_state == State::Running; }
    void recordEngineCrash();
    void recordBrokenAttempt(const std::string& reason);

    // Detaches the current attempt and returns it, so that it can be cancelled after unlocking.
    std::shared_ptr<Attempt> releaseAttempt();

    // Ends the request. Returns the attempt to cancel, if any.
    std::shared_ptr<Attempt> finish(const char* result);

    void dropFrame(const char* frame);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const LiveRequest m_request;
    const std::shared_ptr<ResponseWriter> m_writer;
    const std::shared_ptr<ResponseForwarder> m_forwarder;
    const Base::TimePoint m_startedAt;

    std::mutex m_lock;
    State m_state = State::Waiting;
    Base::TimePoint m_nextAttemptAt;
    Targets m_tried;
    // Subset of m_tried.
    Targets m_refused;
    unsigned m_attempts = 0;
    unsigned m_brokenAttempts = 0;
    unsigned m_loadRefusals = 0;
    unsigned m_resumes = 0;
    bool m_mayHaveRun = false;
    bool m_responseStarted = false;
    bool m_callerDisconnected = false;

    // The current attempt.
    std::string m_attemptId;
    std::shared_ptr<Target> m_target;
    std::shared_ptr<TargetChannel> m_channel;
    std::shared_ptr<Attempt> m_attempt;
    Permit m_permit;
    ResponseMatcher m_matcher;

    // Head of the response and the position up to which it was forwarded.
    ResponseHead m_head;
    StreamPosition m_position;
};

} // namespace Lavenderloft::Routing
