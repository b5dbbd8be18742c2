#include "Dispatch/Commands/ServeQueue.h"

#include "Dispatch/Commands/ShareLimits.h"
#include "Dispatch/Queries/FindCandidates.h"
#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    void consumeColdToken(DispatchState& state, const std::string& serviceName, const Fleet::KnownTarget& target, TargetRuntime& runtime, Base::TimePoint now)
    {
        auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
        if (!snapshot->configuration || !target.isCold(now))
            return;
        auto service = snapshot->configuration->services.find(serviceName);
        if (service == snapshot->configuration->services.end())
            return;
        auto rate = Queries::coldRateShare(state, service->second);
        auto capacity = std::max(1.0, rate);
        if (runtime.coldRefilledAt == Base::TimePoint())
            runtime.coldTokens = 1;
        else
            runtime.coldTokens = std::min(capacity, runtime.coldTokens + std::chrono::duration<double>(now - runtime.coldRefilledAt).count() * rate);
        runtime.coldRefilledAt = now;
        runtime.coldTokens -= 1;
    }

    // Retained slots are used before grants.
    void consumeSlotOrGrant(TargetRuntime& runtime, Base::TimePoint now)
    {
        while (!runtime.retainedSlots.empty() && runtime.retainedSlots.front() <= now)
            runtime.retainedSlots.pop_front();
        if (!runtime.retainedSlots.empty())
            runtime.retainedSlots.pop_front();
        else if (runtime.remainingGrants > 0)
            --runtime.remainingGrants;
    }

} // namespace

std::optional<Lease> tryAcquireLease(DispatchState& state, ServiceState& service, const RequestTraits& traits, Base::TimePoint now)
{
    updateLimitShares(state, traits.service, service, now);
    auto candidates = Queries::findCandidates(state, service, traits, now);
    if (candidates.free.empty())
        return std::nullopt;
    auto& chosen = candidates.free[state.choose(candidates.free, traits)];
    auto& runtime = service.targets[chosen.target->entry.id];
    consumeColdToken(state, traits.service, *chosen.target, runtime, now);
    ++runtime.inFlight;
    ++runtime.startedSinceReport;
    runtime.unanswered.insert(now);
    consumeSlotOrGrant(runtime, now);
    if (runtime.knowledge.isLimited())
        runtime.limitBucket.take(now);
    Lease lease { chosen.target, std::nullopt, chosen.occupancy, {} };
    if (candidates.checkWeights)
        lease.expectedWeights = chosen.weights;
    lease.beginBy = chosen.weightsDeadline;
    lease.assignedAt = now;
    return lease;
}

ServiceLoad describeLoad(DispatchState& state, const ServiceState& service, const RequestTraits& traits, Base::TimePoint now)
{
    auto candidates = Queries::findCandidates(state, service, traits, now);
    auto work = traits.queuedWork();
    auto precedes = [&](const WaitingRequest& waiting) { return state.queueOrder().precedes(waiting.traits.queuedWork(), work); };
    auto preceding = static_cast<size_t>(std::count_if(service.waiting.begin(), service.waiting.end(), precedes));
    return { candidates.eligible, candidates.returning, candidates.capacity, candidates.free.size(), preceding, service.completionsPerSecond, candidates.heldBackUntil };
}

namespace {

    // Whether the target that the request waits for is not known any more, or no longer holds what the request needs.
    bool isWaitInVain(DispatchState& state, const ServiceState& service, const RequestTraits& traits, Base::TimePoint now)
    {
        if (!traits.isInterrupted)
            return false;
        auto load = describeLoad(state, service, traits, now);
        return load.targets == 0 && load.returningTargets == 0;
    }

    void refuseWaiting(ServiceState& service, const WaitingRequest& waiting)
    {
        if (waiting.hasReservedRetry)
            service.retryWindow.cancelReservedRetry();
        waiting.observer->waitEnded(Refusal { RefusalReason::NoTarget, 0ms });
    }

} // namespace

void serveQueue(DispatchState& state, ServiceState& service, Base::TimePoint now)
{
    for (auto waiting = service.waiting.begin(); waiting != service.waiting.end();) {
        auto lease = tryAcquireLease(state, service, waiting->traits, now);
        if (!lease && isWaitInVain(state, service, waiting->traits, now)) {
            refuseWaiting(service, *waiting);
            waiting = service.waiting.erase(waiting);
            continue;
        }
        if (!lease) {
            ++waiting;
            continue;
        }
        if (waiting->hasReservedRetry)
            service.retryWindow.countReservedRetry(now);
        lease->waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - waiting->since);
        waiting->observer->waitEnded(std::move(*lease));
        waiting = service.waiting.erase(waiting);
    }
}

} // namespace Lavenderloft::Dispatch::Commands
