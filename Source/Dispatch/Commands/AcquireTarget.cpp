#include "Dispatch/Commands/AcquireTarget.h"

#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Dispatch/Commands/ServeQueue.h"
#include "Dispatch/Queries/FindBlockedPart.h"
#include "Dispatch/Queries/FindCandidates.h"
#include "Dispatch/Queries/FindQuarantine.h"
#include "Dispatch/Queries/FindRetryLimits.h"
#include "Scheduling/Commands/RecordUrgency.h"
#include "Scheduling/Commands/RecordWork.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    // With less time before the deadline no response can be expected.
    constexpr std::chrono::milliseconds minimumTimeLeft = 20ms;
    // The return of callers is spread over a part of at least this time.
    constexpr std::chrono::milliseconds minimumSpreadTime = 500ms;
    // Retry-After if no target is eligible.
    constexpr std::chrono::milliseconds noTargetRetryAfter = 1800ms;

    void insertInOrder(const Scheduling::QueueOrder& order, std::list<WaitingRequest>& waiting, WaitingRequest request)
    {
        auto position = std::find_if(waiting.rbegin(), waiting.rend(), [&](const WaitingRequest& other) {
            return order.precedes(other.queuedWork(), request.queuedWork());
        });
        waiting.insert(position.base(), std::move(request));
    }

    // Spread over half as long again, so that the callers do not return at the same moment.
    std::chrono::milliseconds retryAfterHoldBack(const RequestTraits& traits, Base::Duration remaining)
    {
        constexpr uint64_t steps = 1000;
        constexpr double spreadShare = 0.5;
        auto position = static_cast<double>(traits.fingerprint % steps) / steps;
        auto longest = std::max(remaining, Base::Duration(minimumSpreadTime));
        return std::chrono::ceil<std::chrono::milliseconds>(remaining + std::chrono::duration_cast<Base::Duration>(longest * (spreadShare * position)));
    }

    // A new request must not overtake queued ones that precede it. Interrupted requests may wait for a particular target and
    // for long, so they are served first and do not hold up the others.
    bool mayPassQueue(DispatchState& state, ServiceState& service, const Scheduling::QueuedWork& arrival, Base::TimePoint now)
    {
        bool isHeldUp = std::any_of(service.waiting.begin(), service.waiting.end(), [&](const WaitingRequest& request) {
            return !request.traits.isInterrupted && state.queueOrder().precedes(request.queuedWork(), arrival);
        });
        if (isHeldUp)
            return false;
        serveQueue(state, service, now);
        return true;
    }

    void recordArrival(ServiceState& service, const Scheduling::QueuedWork& arrival)
    {
        // Weight of one request in the moving average.
        constexpr double weight = 0.05;
        service.meanWork += (service.meanWork > 0 ? weight : 1) * (arrival.work - service.meanWork);
    }

    Decision admit(DispatchState& state, ServiceState& service, const RequestTraits& traits, std::shared_ptr<WaitObserver> observer, bool hasReservedRetry, Base::TimePoint now)
    {
        if (traits.deadline - now < minimumTimeLeft)
            return Refusal { RefusalReason::OutOfTime, 0ms };
        auto arrival = describeArrival(state, service, traits);
        recordArrival(service, arrival);
        if (mayPassQueue(state, service, arrival, now)) {
            if (auto lease = tryAcquireLease(state, service, traits, now)) {
                Scheduling::Commands::chargeArrival(service.shares, arrival);
                recordStart(service, arrival);
                return std::move(*lease);
            }
        }
        auto load = describeLoad(state, service, traits, arrival, now);
        bool mayWaitForTarget = traits.isInterrupted && load.returningTargets > 0;
        if (load.targets == 0 && load.heldBackUntil && !mayWaitForTarget)
            return Refusal { RefusalReason::HeldBack, retryAfterHoldBack(traits, *load.heldBackUntil - now) };
        if (load.targets == 0 && !mayWaitForTarget)
            return Refusal { RefusalReason::NoTarget, noTargetRetryAfter };
        auto wait = std::min(state.admission().maximumWait(traits, load), Base::Duration(traits.deadline - now));
        // The requests in the queue may wait for other targets than those with free slots.
        if (wait <= Base::Duration::zero() && load.freeTargets == 0)
            return Refusal { RefusalReason::Overloaded, state.admission().retryAfter(traits, load) };
        Scheduling::Commands::chargeArrival(service.shares, arrival);
        insertInOrder(state.queueOrder(), service.waiting, WaitingRequest { traits, arrival.work, arrival.startTag, now, now + wait, std::move(observer), hasReservedRetry });
        serveQueue(state, service, now);
        displaceUnservable(state, service, now);
        return Queued { now + wait };
    }

    // Refuses a request that crashed its targets, or that has a prompt part whose requests did.
    std::optional<Refusal> refuseCrashing(DispatchState& state, const RequestTraits& traits, Base::TimePoint now)
    {
        if (auto blocked = Queries::findBlockedPart(state, traits.sharedParts, now)) {
            recordPartRefused(state, blocked->part, now);
            return Refusal { RefusalReason::BlockedPart, blocked->remaining };
        }
        if (auto time = Queries::quarantinedFor(state, traits.fingerprint, now))
            return Refusal { RefusalReason::Quarantined, *time };
        return std::nullopt;
    }

} // namespace

Decision acquireTarget(DispatchState& state, const RequestTraits& traits, std::shared_ptr<WaitObserver> observer, Base::TimePoint now)
{
    if (auto refusal = refuseCrashing(state, traits, now))
        return *refusal;
    return state.withService(traits.service, [&](ServiceState& service) {
        service.retryWindow.countRequest(now);
        Scheduling::Commands::countArrival(service.urgencyRates, traits.priority, now);
        return admit(state, service, traits, std::move(observer), false, now);
    });
}

Decision acquireForRetry(DispatchState& state, const RequestTraits& traits, bool reachedTarget, std::shared_ptr<WaitObserver> observer, Base::TimePoint now)
{
    if (auto refusal = refuseCrashing(state, traits, now))
        return *refusal;
    return state.withService(traits.service, [&](ServiceState& service) -> Decision {
        if (reachedTarget && !service.retryWindow.reserveRetry(Queries::findRetryLimits(state, now), now))
            return Refusal { RefusalReason::RetryBudget, noTargetRetryAfter };
        auto decision = admit(state, service, traits, std::move(observer), reachedTarget, now);
        if (reachedTarget && std::holds_alternative<Lease>(decision))
            service.retryWindow.countReservedRetry(now);
        if (reachedTarget && std::holds_alternative<Refusal>(decision))
            service.retryWindow.cancelReservedRetry();
        return decision;
    });
}

std::optional<Refusal> cancelWait(DispatchState& state, const RequestTraits& traits, const WaitObserver* observer, Base::TimePoint now)
{
    return state.withService(traits.service, [&](ServiceState& service) -> std::optional<Refusal> {
        auto waiting = std::find_if(service.waiting.begin(), service.waiting.end(), [&](const WaitingRequest& request) { return request.observer.get() == observer; });
        if (waiting == service.waiting.end())
            return std::nullopt;
        auto load = describeLoad(state, service, traits, waiting->queuedWork(), now);
        releaseCharges(service, *waiting);
        service.waiting.erase(waiting);
        return Refusal { RefusalReason::Overloaded, state.admission().retryAfter(traits, load) };
    });
}

void serveWaiting(DispatchState& state, Base::TimePoint now)
{
    state.forEachService([&](const std::string&, ServiceState& service) {
        if (!service.waiting.empty())
            serveQueue(state, service, now);
    });
}

} // namespace Lavenderloft::Dispatch::Commands
