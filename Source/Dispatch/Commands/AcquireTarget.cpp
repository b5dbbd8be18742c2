#include "Dispatch/Commands/AcquireTarget.h"

#include "Dispatch/Commands/ServeQueue.h"
#include "Dispatch/Queries/FindCandidates.h"
#include "Dispatch/Queries/FindQuarantine.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    // With less time left no answer can be expected.
    constexpr std::chrono::milliseconds shortestUsefulTime = 20ms;
    // A place is looked for again after this time where no target can be used now.
    constexpr std::chrono::milliseconds noTargetRetryAfter = 1800ms;

    void insertByUrgency(std::list<WaitingRequest>& waiting, WaitingRequest request)
    {
        auto position = std::find_if(waiting.rbegin(), waiting.rend(), [&](const WaitingRequest& other) {
            return other.traits.priority <= request.traits.priority;
        });
        waiting.insert(position.base(), std::move(request));
    }

    Decision admit(DispatchState& state, ServiceState& service, const RequestTraits& traits, std::shared_ptr<WaitObserver> observer, Base::TimePoint now)
    {
        if (traits.deadline - now < shortestUsefulTime)
            return Refusal { RefusalReason::OutOfTime, 0ms };
        // A request that arrives does not overtake one that waits.
        if (service.waiting.empty()) {
            if (auto lease = takePlace(state, service, traits, now))
                return std::move(*lease);
        }
        auto load = describeLoad(state, service, traits, now);
        if (load.targets == 0)
            return Refusal { RefusalReason::NoTarget, noTargetRetryAfter };
        auto wait = std::min(state.admission().longestWait(traits, load), Base::Duration(traits.deadline - now));
        if (wait <= Base::Duration::zero())
            return Refusal { RefusalReason::Overloaded, state.admission().retryAfter(traits, load) };
        insertByUrgency(service.waiting, WaitingRequest { traits, now, std::move(observer) });
        serveQueue(state, service, now);
        return Queued { now + wait };
    }

    RetryAllowance allowanceOf(const DispatchState& state)
    {
        // Part of the fleet's budget that routers use; the rest covers requests that two routers count
        // into different windows.
        constexpr double usedPart = 0.8;
        auto bounds = state.bounds();
        auto routers = state.routerCount();
        return { usedPart * bounds.retryRatio, routers ? usedPart * bounds.retrySlack / *routers : 0 };
    }

} // namespace

Decision acquireTarget(DispatchState& state, const RequestTraits& traits, std::shared_ptr<WaitObserver> observer, Base::TimePoint now)
{
    if (auto time = Queries::quarantinedFor(state, traits.fingerprint, now))
        return Refusal { RefusalReason::Quarantined, *time };
    return state.withService(traits.service, [&](ServiceState& service) {
        service.retries.countRequest(now);
        return admit(state, service, traits, std::move(observer), now);
    });
}

Decision acquireForRetry(DispatchState& state, const RequestTraits& traits, bool reachedTarget, std::shared_ptr<WaitObserver> observer, Base::TimePoint now)
{
    if (auto time = Queries::quarantinedFor(state, traits.fingerprint, now))
        return Refusal { RefusalReason::Quarantined, *time };
    return state.withService(traits.service, [&](ServiceState& service) -> Decision {
        if (reachedTarget && !service.retries.tryRepeat(allowanceOf(state), now))
            return Refusal { RefusalReason::RetryBudget, noTargetRetryAfter };
        return admit(state, service, traits, std::move(observer), now);
    });
}

std::optional<Refusal> cancelWait(DispatchState& state, const RequestTraits& traits, const WaitObserver* observer, Base::TimePoint now)
{
    return state.withService(traits.service, [&](ServiceState& service) -> std::optional<Refusal> {
        auto isObserved = [&](const WaitingRequest& request) { return request.observer.get() == observer; };
        if (std::erase_if(service.waiting, isObserved) == 0)
            return std::nullopt;
        return Refusal { RefusalReason::Overloaded, state.admission().retryAfter(traits, describeLoad(state, service, traits, now)) };
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
