#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/QuarantineTable.h"
#include "Routing/RequestEnding.h"
#include "Routing/RequestLog.h"
#include "Routing/RequestState.h"
#include "Routing/RoutingContext.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Lavenderloft::Routing {

// Receives what the agents of a request's attempts send. The receivers that it makes keep the request alive.
class AttemptOwner {
public:
    virtual ~AttemptOwner() = default;

    virtual std::shared_ptr<AttemptEvents> makeEvents(const std::string& attemptId) = 0;

    virtual std::function<void(Resolution)> makeResolutionHandler(const std::string& attemptId) = 0;
};

// Begins the attempts of one request, and decides what follows a failed one: a retry, a resumed response, a wait, a
// question to the agent, or the end. All methods are called with the state's lock held, and release it before calling
// channels, attempts or the writer. The arguments of the constructor must outlive it.
class AttemptSequence {
public:
    using Lock = RequestState::Lock;

    AttemptSequence(RoutingContext&, const LiveRequest&, const RequestLog&, RequestState&, RequestEnding&, AttemptOwner&);

    // Begins an attempt, unless the request has ended. Ends the request if none is possible.
    void begin(Lock);

    // Continues after an attempt that failed and was released.
    void failed(Lock, const AttemptFailure&);

    // Asks the agent of the last attempt for its outcome.
    void resolve(Lock);

    // Schedules another question to an agent that did not answer. Its silence says nothing of the outcome.
    void scheduleResolution(Lock);

private:
    void failQuarantined(Lock, const QuarantineStatus&);
    void open(Lock, std::shared_ptr<Target>, std::string_view reason);
    void prepareResume(AdmissionRequest&, ResponseMatcher&);
    // Whether an attempt may have run the request and another one can continue or repeat it. Such a request waits for a
    // target until its deadline, because it can't be refused as not run.
    bool isInterrupted() const;
    void retry(Lock, const AttemptFailure&, bool isCharged);
    void continueAfter(Lock, const AttemptFailure&, bool isCharged);
    void waitForRetryBudget(Lock, const AttemptFailure&);
    void resumeResponse(Lock, const AttemptFailure&);
    void retryLaterOrFail(Lock, const RoutingError&);
    // Clears the list of targets tried and schedules an attempt.
    void startNewRound(Lock, Base::Duration delay, const std::string& reason);
    void scheduleAttempt(Lock, Base::Duration delay, const std::string& reason);

    using Phase = RequestState::Phase;

    RoutingContext& m_context;
    const LiveRequest& m_request;
    const RequestLog& m_log;
    RequestState& m_state;
    RequestEnding& m_ending;
    AttemptOwner& m_owner;
};

} // namespace Lavenderloft::Routing
