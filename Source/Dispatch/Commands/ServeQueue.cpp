#include "Dispatch/Commands/ServeQueue.h"

#include "Dispatch/Commands/ShareLimits.h"
#include "Dispatch/Queries/FindCandidates.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Scheduling/Commands/RecordUrgency.h"
#include "Scheduling/Commands/RecordWork.h"
#include "Scheduling/Queries/FindRatio.h"
#include "Scheduling/Queries/FindStartTag.h"
#include "Scheduling/Queries/FindUnservable.h"

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
        runtime.coldBucket.take(Queries::coldRateShare(state, service->second), now);
    }

    PlacementContext describePlacement(const DispatchState& state, const ServiceState& service, const RequestTraits& traits, const Scheduling::EngineModel* model, Base::TimePoint now)
    {
        auto bias = model ? Scheduling::Queries::findRatio(service.modelRatio, now) : 1;
        return { traits, model, bias, service.isSpilling, state.settings().dataCentre, state.settings().linkBitsPerSecond, now };
    }

    // Retained slots are used before grants, if the request may use them.
    void consumeSlotOrGrant(TargetRuntime& runtime, int urgency, Base::TimePoint now)
    {
        bool mayReuse = runtime.reuse.allows(urgency, now);
        runtime.reuse.recordStart(urgency, now);
        while (!runtime.retainedSlots.empty() && runtime.retainedSlots.front() <= now)
            runtime.retainedSlots.pop_front();
        if (mayReuse && !runtime.retainedSlots.empty())
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
    auto placement = state.choose(candidates.free, describePlacement(state, service, traits, candidates.model.get(), now));
    service.isSpilling = placement.spills.value_or(service.isSpilling);
    auto& chosen = candidates.free[placement.index];
    auto& runtime = service.targets[chosen.target->entry.id];
    consumeColdToken(state, traits.service, *chosen.target, runtime, now);
    ++runtime.inFlight;
    ++runtime.startedSinceReport;
    runtime.unanswered.emplace(now, placement.predicted);
    consumeSlotOrGrant(runtime, traits.priority, now);
    Scheduling::Commands::countStart(service.urgencyRates, traits.priority, now);
    if (runtime.knowledge.isLimited())
        runtime.limitBucket.take(now);
    Lease lease { chosen.target, std::nullopt, chosen.occupancy, {} };
    if (candidates.checkWeights)
        lease.expectedWeights = chosen.weights;
    lease.beginBy = chosen.weightsDeadline;
    lease.assignedAt = now;
    lease.predicted = placement.predicted;
    lease.spills = placement.spills.value_or(false);
    return lease;
}

ServiceLoad describeLoad(DispatchState& state, const ServiceState& service, const RequestTraits& traits, const Scheduling::QueuedWork& arrival, Base::TimePoint now)
{
    auto candidates = Queries::findCandidates(state, service, traits, now);
    double preceding = 0;
    for (auto& waiting : service.waiting) {
        if (state.queueOrder().precedes(waiting.queuedWork(), arrival))
            preceding += waiting.work;
    }
    auto precedingRequests = service.meanWork > 0 ? preceding / service.meanWork : 0;
    return { candidates.eligible, candidates.returning, candidates.capacity, candidates.free.size(), precedingRequests, service.completionsPerSecond, candidates.heldBackUntil };
}

Scheduling::QueuedWork describeArrival(const DispatchState& state, const ServiceState& service, const RequestTraits& traits)
{
    auto arrival = traits.queuedWork();
    arrival.work = state.workEstimator().estimate(arrival.size);
    arrival.startTag = Scheduling::Queries::findStartTag(service.shares, arrival.urgency, arrival.organisation);
    return arrival;
}

void recordStart(ServiceState& service, const Scheduling::QueuedWork& started)
{
    Scheduling::Commands::recordService(service.shares, started);
    if (service.waiting.empty())
        return;
    auto leastUrgent = service.waiting.back().traits.priority;
    if (started.urgency < leastUrgent)
        service.floor.recordStartPastOthers();
    else
        service.floor.recordFloorStart();
}

void releaseCharges(ServiceState& service, const WaitingRequest& waiting)
{
    if (waiting.hasReservedRetry)
        service.retryWindow.cancelReservedRetry();
    Scheduling::Commands::refund(service.shares, waiting.queuedWork());
}

void displaceUnservable(DispatchState& state, ServiceState& service, Base::TimePoint now)
{
    std::vector<Scheduling::Queries::QueuedWait> queue;
    for (auto& waiting : service.waiting)
        queue.push_back({ waiting.work, waiting.until, waiting.traits.isInterrupted });
    auto unservable = Scheduling::Queries::findUnservable(queue, service.completionsPerSecond * service.meanWork, now);
    size_t index = 0;
    auto next = unservable.begin();
    for (auto waiting = service.waiting.begin(); waiting != service.waiting.end() && next != unservable.end(); ++index) {
        if (index != *next) {
            ++waiting;
            continue;
        }
        ++next;
        auto load = describeLoad(state, service, waiting->traits, waiting->queuedWork(), now);
        releaseCharges(service, *waiting);
        waiting->observer->waitEnded(Refusal { RefusalReason::Displaced, state.admission().retryAfter(waiting->traits, load) });
        waiting = service.waiting.erase(waiting);
    }
}

namespace {

    // Whether the target that the request waits for is not known any more, or no longer holds what the request needs.
    bool isWaitInVain(DispatchState& state, const ServiceState& service, const WaitingRequest& waiting, Base::TimePoint now)
    {
        if (!waiting.traits.isInterrupted)
            return false;
        auto load = describeLoad(state, service, waiting.traits, waiting.queuedWork(), now);
        return load.targets == 0 && load.returningTargets == 0;
    }

    // Assigns the request a free slot and removes it from the queue. Returns false if there is none.
    bool serveWaitingRequest(DispatchState& state, ServiceState& service, std::list<WaitingRequest>::iterator waiting, Base::TimePoint now)
    {
        auto lease = tryAcquireLease(state, service, waiting->traits, now);
        if (!lease)
            return false;
        if (waiting->hasReservedRetry)
            service.retryWindow.countReservedRetry(now);
        lease->waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - waiting->since);
        auto served = std::move(*waiting);
        service.waiting.erase(waiting);
        recordStart(service, served.queuedWork());
        served.observer->waitEnded(std::move(*lease));
        return true;
    }

    // Requests that found no free slot while the queue was served once. A search for free slots looks at all targets, and most
    // requests of a queue can use the same ones.
    class FailedSearches {
    public:
        explicit FailedSearches(Base::TimePoint now)
            : m_now(now)
        {
        }

        // The request must stay in the queue meanwhile.
        void add(const RequestTraits& traits)
        {
            if (traits.triedTargets.empty())
                m_failed.push_back(&traits);
        }

        bool covers(const RequestTraits& traits) const
        {
            return std::any_of(m_failed.begin(), m_failed.end(), [&](auto* failed) { return canUseNoOther(traits, *failed); });
        }

    private:
        // Whether each target that the request can use could be used by the one that found none.
        bool canUseNoOther(const RequestTraits& traits, const RequestTraits& failed) const
        {
            bool hasSameConstraints = traits.requiredWeights == failed.requiredWeights && traits.allowedRegions == failed.allowedRegions;
            // A target that leaves requests unanswered is used only for those with time left.
            bool hasTimeLeft = failed.deadline - m_now > TargetRuntime::silentAfter || failed.deadline >= traits.deadline;
            return hasSameConstraints && hasTimeLeft;
        }

        const Base::TimePoint m_now;
        std::vector<const RequestTraits*> m_failed;
    };

    // Serves the first of the least urgent requests if it is their turn.
    void serveFloor(DispatchState& state, ServiceState& service, Base::TimePoint now)
    {
        if (!service.floor.isDue() || service.waiting.empty())
            return;
        auto leastUrgent = service.waiting.back().traits.priority;
        auto first = std::find_if(service.waiting.begin(), service.waiting.end(), [&](auto& waiting) { return waiting.traits.priority == leastUrgent && !waiting.traits.isInterrupted; });
        if (first == service.waiting.end())
            return;
        serveWaitingRequest(state, service, first, now);
    }

} // namespace

void serveQueue(DispatchState& state, ServiceState& service, Base::TimePoint now)
{
    serveFloor(state, service, now);
    FailedSearches failed(now);
    for (auto waiting = service.waiting.begin(); waiting != service.waiting.end();) {
        auto current = waiting++;
        bool isSearched = !failed.covers(current->traits);
        if (isSearched && serveWaitingRequest(state, service, current, now))
            continue;
        if (!isWaitInVain(state, service, *current, now)) {
            if (isSearched)
                failed.add(current->traits);
            continue;
        }
        releaseCharges(service, *current);
        current->observer->waitEnded(Refusal { RefusalReason::NoTarget, 0ms });
        service.waiting.erase(current);
    }
}

} // namespace Lavenderloft::Dispatch::Commands
