#pragma once

#include "Routing/AnswerMatcher.h"
#include "Routing/AnswerSink.h"
#include "Routing/Queries/DecideRetry.h"
#include "Routing/RoutingContext.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace Lavenderloft::Routing {

// What a blocked stream holds beside the part that its caller has not taken: the transport's read
// buffers, of which a stream pins whole blocks, and the connection. In lavenderloft-bench slow-readers
// 1,000 blocked streams held 103 KB each, of which 16 KiB were the part.
inline constexpr uint64_t blockedStreamBytes = 88 * 1024;

// Carries one request from its caller to a target and the answer back: a state machine whose inputs are
// the events of the current attempt, the caller's departure and the passing of time. Inputs may come
// from any thread; no lock is held during calls to channels and sinks.
class RequestCoordinator final : public std::enable_shared_from_this<RequestCoordinator> {
public:
    RequestCoordinator(std::shared_ptr<RoutingContext>, LiveRequest, std::shared_ptr<AnswerSink>);

    // Makes the first attempt. The request is in RunningRequests until its end.
    void start();

    // The caller closed its connection.
    void callerGone();

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

    // How an attempt failed, for the log and for the caller if no other attempt follows.
    struct Failure {
        Queries::FailureKind kind;
        RoutingError error;
    };

    void permitted(const std::string& attemptId, const Permit&);
    void refused(const std::string& attemptId, const Refusal&);
    void head(const std::string& attemptId, AnswerHead);
    void data(const std::string& attemptId, AnswerData, std::function<void()> resume);
    void ended(const std::string& attemptId, const AnswerEnd&);
    void closed(const std::string& attemptId, const std::string& reason);
    void loadReported(const std::string& attemptId, const Membership::TargetLoad&);
    void resolved(const std::string& attemptId, const Resolution&);

    // These take the lock and release it before they call out.
    void beginAttempt(Lock);
    void failQuarantined(Lock, const QuarantineFinding&);
    void openAttempt(Lock, std::shared_ptr<Target>, std::string_view reason);
    void attemptFailed(Lock, const Failure&);
    void retry(Lock, const Failure&, bool fromBudget);
    void resolve(Lock);
    void waitOrFail(Lock, const RoutingError&);
    void fail(Lock, RoutingError);
    void cut(Lock, const std::string& reason);
    void completeAnswer(Lock);
    void forward(std::string bytes, std::function<void()> resume);

    bool isCurrent(const std::string& attemptId) const;
    bool isSent() const { return m_state == State::Running; }
    // Cuts slow readers until the charge fits; false if it has to wait for readers that keep up.
    bool chargeBudget(const std::function<bool()>& charge);
    // Opens the stream as soon as the budget has room for what it holds, then makes the first attempt.
    void openStream();
    // Returns false if the stream does not wait to be opened.
    bool retryOpen();
    void listWaitingStream();
    // Keeps a part until there is room; meanwhile the target's stream is not read.
    void waitForBudget(std::string bytes, std::function<void()> resume);
    // Returns false if no part waits.
    bool retryWaitingPart();
    void noteCrash();
    void recordBreak(const std::string& reason);

    // Ends the attempt's bookkeeping and returns it, so that it can be cancelled without the lock.
    std::shared_ptr<Attempt> leaveAttempt();

    // Ends the request; returns the attempt to cancel.
    std::shared_ptr<Attempt> end(const char* result);

    Failure failure(Queries::FailureKind, ErrorCode, std::string message, std::string remedy) const;
    Failure failureOf(const Refusal&) const;
    void dropFrame(const char* frame);

    const std::shared_ptr<RoutingContext> m_contextOwner;
    RoutingContext& m_context;
    const LiveRequest m_request;
    const std::shared_ptr<AnswerSink> m_sink;
    const Base::TimePoint m_startedAt;

    // A part of the answer that waits for room in the byte budget.
    struct WaitingPart {
        std::string bytes;
        std::function<void()> resume;
    };

    std::mutex m_lock;
    std::optional<WaitingPart> m_waitingPart;
    // Whether the budget is charged for the open stream, and whether the stream waits for that.
    bool m_isOpen = false;
    bool m_waitsToOpen = false;
    // Whether the stream is in the budget's lists of waiting parts and streams; ticks try again besides.
    bool m_isPartListed = false;
    bool m_isOpenListed = false;
    State m_state = State::Waiting;
    Base::TimePoint m_resumeAt;
    Targets m_tried;
    // Those of the tried targets that refused.
    Targets m_refused;
    unsigned m_attempts = 0;
    unsigned m_breaks = 0;
    unsigned m_loadRefusals = 0;
    bool m_mayHaveRun = false;
    bool m_answerStarted = false;
    bool m_callerGone = false;

    // The current attempt.
    std::string m_attemptId;
    std::shared_ptr<Target> m_target;
    std::shared_ptr<TargetChannel> m_channel;
    std::shared_ptr<Attempt> m_attempt;
    Permit m_permit;
    AnswerMatcher m_matcher;
    AnswerHead m_head;
};

} // namespace Lavenderloft::Routing
