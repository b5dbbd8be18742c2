#include "Dispatch/Queries/FindCandidates.h"

#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    using namespace std::chrono_literals;

    // Requests per second. Each router may send one request to a cold target at any time; with a smaller share, these
    // would together exceed the rate that the target can sustain.
    constexpr double minimumColdRateShare = 2;

    // Retry-After if other routers hold the limits of all targets. The caller is likely to reach one of them then.
    constexpr std::chrono::milliseconds limitedRetryTime = 1000ms;

    bool contains(const std::vector<std::string>& texts, const std::string& text)
    {
        return std::find(texts.begin(), texts.end(), text) != texts.end();
    }

    // Eligibility checks for the targets of one request.
    class CandidateFilter {
    public:
        CandidateFilter(DispatchState& state, const RequestTraits& traits, const Fleet::FleetSnapshot& snapshot, Base::TimePoint now)
            : m_state(state)
            , m_traits(traits)
            , m_snapshot(snapshot)
            , m_now(now)
        {
            if (!snapshot.configuration)
                return;
            auto found = snapshot.configuration->services.find(traits.service);
            if (found != snapshot.configuration->services.end())
                m_service = &found->second;
            if (m_service && m_service->weights && !m_service->weights->models.empty())
                m_minimumWeightsVersion = minimumWeightsVersion(snapshot, m_service->weights->models.front(), state.bounds().weights, now);
        }

        bool isEngine() const { return m_service && m_service->weights; }
        std::shared_ptr<const Scheduling::EngineModel> engineModel() const { return m_service ? m_service->engineModel : nullptr; }
        int urgency() const { return m_traits.priority; }
        uint64_t minimumVersion() const { return m_minimumWeightsVersion; }

        bool isEligible(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            auto& entry = target.entry;
            if (!isAllowed(entry))
                return false;
            if (runtime && (runtime->backoffUntil > m_now || refusesRequests(entry, *runtime)))
                return false;
            auto weights = knownWeights(target, runtime);
            if (runtime && !mayBeginInTime(weights, *runtime))
                return false;
            if (!isEngine())
                return true;
            if (runtime && runtime->hasReport(m_now) && runtime->report.paused)
                return false;
            if (m_traits.requiredWeights > 0 && weights != m_traits.requiredWeights)
                return false;
            return weights > 0 && weights >= m_minimumWeightsVersion;
        }

        // Whether the target may become eligible without a new entry. Engines never return to older weights.
        bool mayReturn(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            bool isLeaving = runtime && runtime->knowledge.incarnation == target.entry.startedAt && runtime->knowledge.leavingSince;
            if (!isAllowed(target.entry) || isLeaving)
                return false;
            if (!isEngine() || m_traits.requiredWeights == 0)
                return true;
            return m_traits.requiredWeights >= m_minimumWeightsVersion && knownWeights(target, runtime) <= m_traits.requiredWeights;
        }

        // A target in a data centre that the settings do not name is in no region, so it is in none of the allowed ones.
        bool isInAllowedRegion(const Fleet::TargetEntry& entry) const
        {
            auto region = m_state.settings().regionOf(entry.dataCentre);
            return !region.empty() && contains(m_traits.allowedRegions, region);
        }

        // Whether the target has said that it takes no requests. This goes before what its entry says.
        bool refusesRequests(const Fleet::TargetEntry& entry, const TargetRuntime& runtime) const
        {
            auto& knowledge = runtime.knowledge;
            return knowledge.incarnation == entry.startedAt && (knowledge.leavingSince || knowledge.heldBackUntil > m_now || isLeftToOthers(entry, runtime));
        }

        bool isLimited(const Fleet::TargetEntry& entry, const TargetRuntime& runtime) const
        {
            return runtime.knowledge.incarnation == entry.startedAt && runtime.knowledge.isLimited();
        }

        // Whether other routers hold the limit that the target names.
        bool isLeftToOthers(const Fleet::TargetEntry& entry, const TargetRuntime& runtime) const
        {
            return isLimited(entry, runtime) && runtime.limitBucket.share <= 0;
        }

        bool hasLimitToken(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            return !runtime || !isLimited(target.entry, *runtime) || runtime->limitBucket.available(m_now) >= 1;
        }

        // When a target takes requests of this router again that now refuses them.
        Base::TimePoint refusesUntil(const Fleet::TargetEntry& entry, const TargetRuntime& runtime) const
        {
            auto heldBackUntil = runtime.knowledge.heldBackUntil;
            return isLeftToOthers(entry, runtime) ? std::max<Base::TimePoint>(heldBackUntil, m_now + limitedRetryTime) : heldBackUntil;
        }

        // Whether the target takes requests again after the time for which it holds this router back.
        bool isHeldBack(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            return runtime && !target.entry.draining && !runtime->knowledge.leavingSince && refusesRequests(target.entry, *runtime);
        }

        // Version of the complete weights at the engine. The report of its agent is more recent than its entry.
        uint64_t knownWeights(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            if (!isEngine())
                return 0;
            if (runtime && runtime->hasReport(m_now))
                return runtime->report.wholeVersion;
            if (runtime && runtime->isReportedUnusable(m_now))
                return 0;
            return Fleet::wholeVersionOf(target.entry.layers, m_service->weights->layers);
        }

        // Until when a request may begin on these weights.
        std::optional<Base::TimePoint> deadlineOf(uint64_t weights) const
        {
            if (!isEngine() || m_service->weights->models.empty())
                return std::nullopt;
            return weightsDeadline(m_snapshot, m_service->weights->models.front(), weights, m_state.bounds().weights);
        }

        bool hasColdToken(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            if (!m_service || m_service->coldRequestsPerSecond <= 0 || !target.isCold(m_now))
                return true;
            if (isEngine() && runtime && runtime->hasReport(m_now))
                return runtime->report.cold;
            auto rate = coldRateShare(m_state, *m_service);
            return rate > 0 && (!runtime || runtime->coldBucket.available(rate, m_now) >= 1);
        }

    private:
        // Whether a request that is sent now can be expected to begin before its caller leaves and before the weights expire.
        // Otherwise it could wait at the target, or on the way there, for longer than it can be withdrawn.
        bool mayBeginInTime(uint64_t weights, const TargetRuntime& runtime) const
        {
            if (m_now + runtime.unansweredFor(m_now) > m_traits.deadline)
                return false;
            auto deadline = deadlineOf(weights);
            return !deadline || m_now + runtime.expectedDelay(m_now) + withdrawalTime < *deadline;
        }

        bool isAllowed(const Fleet::TargetEntry& entry) const
        {
            if (entry.draining || m_snapshot.evacuatedDataCentres.contains(entry.dataCentre))
                return false;
            if (contains(m_traits.triedTargets, entry.id))
                return false;
            return m_traits.allowedRegions.empty() || isInAllowedRegion(entry);
        }

        DispatchState& m_state;
        const RequestTraits& m_traits;
        const Fleet::FleetSnapshot& m_snapshot;
        const Base::TimePoint m_now;
        const Fleet::Service* m_service = nullptr;
        uint64_t m_minimumWeightsVersion = 0;
    };

    // A resumed response is likely to end within this time.
    constexpr std::chrono::milliseconds expectedResumedDuration = 2000ms;

    bool abortsSoon(const TargetRuntime* runtime, Base::TimePoint now)
    {
        return runtime && runtime->hasReport(now) && runtime->report.abortsAt && *runtime->report.abortsAt < now + expectedResumedDuration;
    }

    // Whether a request may be started at the target. Routers share the slots of an engine, and its agent distributes
    // them as grants so that two routers do not use the same one. While many slots are free, each router may also start
    // one request between two reports without a grant; more would make an engine that has just become free process many
    // prompts at once. Without a recent report a router keeps to its share of the slots.
    bool hasCapacity(const DispatchState& state, const Candidate& candidate, const TargetRuntime* runtime, bool isEngine, int urgency, Base::TimePoint now)
    {
        if (runtime && runtime->knowledge.isProbed && runtime->inFlight > 0)
            return false;
        if (!isEngine)
            return candidate.occupancy < candidate.capacity;
        auto routers = state.routerCount();
        if (!runtime || !runtime->hasReport(now))
            return (runtime ? runtime->inFlight : 0) < std::max(1u, candidate.capacity / routers.value_or(candidate.capacity));
        if (runtime->hasGrant(now))
            return true;
        // A cold engine takes only granted requests; its agent grants them at the rate that it can sustain.
        if (runtime->report.cold)
            return false;
        if (runtime->hasRetainedSlot(now) && runtime->reuse.allows(urgency, now))
            return true;
        return runtime->startedSinceReport == 0 && candidate.occupancy + routers.value_or(candidate.capacity) <= candidate.capacity;
    }

} // namespace

uint64_t minimumWeightsVersion(const Fleet::FleetSnapshot& snapshot, const std::string& model, std::chrono::milliseconds bound, Base::TimePoint now)
{
    auto declared = snapshot.weights.find(model);
    if (declared == snapshot.weights.end())
        return 0;
    uint64_t oldest = 0;
    for (auto& declaration : declared->second) {
        if (now >= declaration.publishedAt + bound - Fleet::weightsMargin)
            oldest = std::max(oldest, declaration.version);
    }
    return oldest;
}

std::optional<Base::TimePoint> weightsDeadline(const Fleet::FleetSnapshot& snapshot, const std::string& model, uint64_t version, std::chrono::milliseconds bound)
{
    std::optional<Base::TimePoint> earliest;
    auto declared = snapshot.weights.find(model);
    if (declared == snapshot.weights.end())
        return earliest;
    for (auto& declaration : declared->second) {
        Base::TimePoint deadline = declaration.publishedAt + bound;
        if (declaration.version > version)
            earliest = std::min(earliest.value_or(deadline), deadline);
    }
    return earliest;
}

double coldRateShare(const DispatchState& state, const Fleet::Service& service)
{
    auto routers = state.routerCount();
    if (!routers)
        return 0;
    auto share = service.coldRequestsPerSecond / *routers;
    return share < minimumColdRateShare ? 0 : share;
}

namespace {

    Candidate describeCandidate(const DispatchState& state, const CandidateFilter& filter, const std::shared_ptr<const Fleet::KnownTarget>& target, const TargetRuntime* runtime, Base::TimePoint now)
    {
        Candidate candidate;
        candidate.target = target;
        candidate.occupancy = runtime ? runtime->occupancy(now) : 0;
        candidate.capacity = state.admission().concurrencyLimit(target->entry.slots, filter.isEngine());
        candidate.sameDataCentre = target->entry.dataCentre == state.settings().dataCentre;
        candidate.sameRegion = state.settings().regionOf(target->entry.dataCentre) == state.settings().region;
        candidate.weights = filter.knownWeights(*target, runtime);
        candidate.weightsDeadline = filter.deadlineOf(candidate.weights);
        candidate.failureShare = runtime ? runtime->failureShare : 0;
        candidate.abortsSoon = abortsSoon(runtime, now);
        candidate.runtime = runtime;
        return candidate;
    }

    // Whether targets that are silent are candidates too.
    enum class SilentTargets {
        Excluded,
        Included,
    };

    CandidateSet collectCandidates(DispatchState& state, const ServiceState& service, const CandidateFilter& filter, const std::vector<std::shared_ptr<const Fleet::KnownTarget>>& targets, SilentTargets silentTargets, Base::TimePoint now)
    {
        CandidateSet set;
        for (auto& target : targets) {
            auto found = service.targets.find(target->entry.id);
            auto* runtime = found == service.targets.end() ? nullptr : &found->second;
            bool isExcluded = silentTargets == SilentTargets::Excluded && runtime && runtime->isSilent(now);
            if (isExcluded || !filter.isEligible(*target, runtime)) {
                if (filter.mayReturn(*target, runtime))
                    ++set.returning;
                if (filter.isHeldBack(*target, runtime))
                    set.heldBackUntil = std::min(set.heldBackUntil.value_or(filter.refusesUntil(target->entry, *runtime)), filter.refusesUntil(target->entry, *runtime));
                continue;
            }
            auto candidate = describeCandidate(state, filter, target, runtime, now);
            ++set.eligible;
            set.capacity += candidate.capacity;
            if (hasCapacity(state, candidate, runtime, filter.isEngine(), filter.urgency(), now) && filter.hasColdToken(*target, runtime) && filter.hasLimitToken(*target, runtime))
                set.free.push_back(std::move(candidate));
        }
        return set;
    }

} // namespace

CandidateSet findCandidates(DispatchState& state, const ServiceState& service, const RequestTraits& traits, Base::TimePoint now)
{
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    auto targets = snapshot->targetsByService.find(traits.service);
    if (targets == snapshot->targetsByService.end())
        return {};
    CandidateFilter filter(state, traits, *snapshot, now);
    auto set = collectCandidates(state, service, filter, targets->second, SilentTargets::Excluded, now);
    // If all targets are silent, the service as a whole is slow.
    if (set.eligible == 0)
        set = collectCandidates(state, service, filter, targets->second, SilentTargets::Included, now);
    set.model = filter.engineModel();
    set.checkWeights = filter.minimumVersion() > 0 || traits.requiredWeights > 0;
    return set;
}

} // namespace Lavenderloft::Dispatch::Queries
