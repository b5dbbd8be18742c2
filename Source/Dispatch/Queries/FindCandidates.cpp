#include "Dispatch/Queries/FindCandidates.h"

#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    using namespace std::chrono_literals;

    // Old weights are given up so long before the bound: a request may wait at the engine before it begins.
    constexpr std::chrono::milliseconds weightsMargin = 1000ms;

    // Each router may have one request at hand for a cold target. With a smaller share, in requests a second,
    // these would add up to more than the target bears.
    constexpr double smallestColdShare = 2;

    bool contains(const std::vector<std::string>& texts, const std::string& text)
    {
        return std::find(texts.begin(), texts.end(), text) != texts.end();
    }

    // What all candidates of one request have in common.
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
                m_oldestWeights = oldestUsableWeights(snapshot, m_service->weights->models.front(), state.bounds().weights, now);
        }

        bool isEngine() const { return m_service && m_service->weights; }
        uint64_t oldestWeights() const { return m_oldestWeights; }

        bool mayUse(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            auto& entry = target.entry;
            if (entry.draining || m_snapshot.evacuatedDataCentres.contains(entry.dataCentre))
                return false;
            if (contains(m_traits.triedTargets, entry.id))
                return false;
            if (!m_traits.allowedRegions.empty() && !contains(m_traits.allowedRegions, m_state.settings().regionOf(entry.dataCentre)))
                return false;
            if (runtime && runtime->avoidUntil > m_now)
                return false;
            if (!isEngine())
                return true;
            if (runtime && runtime->hasReport(m_now) && runtime->report.paused)
                return false;
            auto weights = knownWeights(target, runtime);
            if (m_traits.requiredWeights > 0 && weights != m_traits.requiredWeights)
                return false;
            return weights > 0 && weights >= m_oldestWeights;
        }

        // Version of whole weights at the engine; the report of the agent beside it is fresher than its entry.
        uint64_t knownWeights(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            if (!isEngine())
                return 0;
            if (runtime && runtime->hasReport(m_now))
                return runtime->report.wholeVersion;
            return Fleet::wholeVersionOf(target.entry.layers, m_service->weights->layers);
        }

        bool hasColdRate(const Fleet::KnownTarget& target, const TargetRuntime* runtime) const
        {
            if (!m_service || m_service->coldRequestsPerSecond <= 0 || !target.isCold(m_now))
                return true;
            if (isEngine() && runtime && runtime->hasReport(m_now))
                return runtime->report.cold;
            auto rate = coldShare(m_state, *m_service);
            if (rate <= 0)
                return false;
            if (!runtime || runtime->coldRefilledAt == Base::TimePoint())
                return true;
            auto elapsed = std::chrono::duration<double>(m_now - runtime->coldRefilledAt).count();
            return std::min(std::max(1.0, rate), runtime->coldTokens + elapsed * rate) >= 1;
        }

    private:
        DispatchState& m_state;
        const RequestTraits& m_traits;
        const Fleet::FleetSnapshot& m_snapshot;
        const Base::TimePoint m_now;
        const Fleet::Service* m_service = nullptr;
        uint64_t m_oldestWeights = 0;
    };

    // An answer that is resumed is likely to end within this time.
    constexpr std::chrono::milliseconds resumedRest = 2000ms;

    bool cutsSoon(const TargetRuntime* runtime, Base::TimePoint now)
    {
        return runtime && runtime->hasReport(now) && runtime->report.abortsAt && *runtime->report.abortsAt < now + resumedRest;
    }

    // Whether a request may be begun at the target. Routers share the places of an engine: the agent deals
    // them, so that routers do not take the same one at once. While many are free, each router may also
    // begin one request between two reports; more would make an engine that has just become free read many
    // prompts at once. Without news of the agent a router keeps to its share.
    bool hasPlace(const DispatchState& state, const Candidate& candidate, const TargetRuntime* runtime, bool isEngine, Base::TimePoint now)
    {
        if (!isEngine)
            return candidate.occupancy < candidate.slots;
        auto routers = state.routerCount();
        if (!runtime || !runtime->hasReport(now))
            return (runtime ? runtime->underWay : 0) < std::max(1u, candidate.slots / routers.value_or(candidate.slots));
        if (runtime->hasGrant(now))
            return true;
        // The grants of a cold engine are dealt at the rate that it bears.
        if (runtime->report.cold)
            return false;
        if (runtime->hasRetainedPlace(now))
            return true;
        return runtime->begunSinceReport == 0 && candidate.occupancy + routers.value_or(candidate.slots) <= candidate.slots;
    }

} // namespace

uint64_t oldestUsableWeights(const Fleet::FleetSnapshot& snapshot, const std::string& model, std::chrono::milliseconds bound, Base::TimePoint now)
{
    auto declared = snapshot.weights.find(model);
    if (declared == snapshot.weights.end())
        return 0;
    uint64_t oldest = 0;
    for (auto& declaration : declared->second) {
        if (now >= declaration.learnedAt + bound - weightsMargin)
            oldest = std::max(oldest, declaration.version);
    }
    return oldest;
}

double coldShare(const DispatchState& state, const Fleet::Service& service)
{
    auto routers = state.routerCount();
    if (!routers)
        return 0;
    auto share = service.coldRequestsPerSecond / *routers;
    return share < smallestColdShare ? 0 : share;
}

CandidateSet findCandidates(DispatchState& state, const ServiceState& service, const RequestTraits& traits, Base::TimePoint now)
{
    CandidateSet set;
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    auto targets = snapshot->targetsByService.find(traits.service);
    if (targets == snapshot->targetsByService.end())
        return set;
    CandidateFilter filter(state, traits, *snapshot, now);
    set.checkWeights = filter.oldestWeights() > 0 || traits.requiredWeights > 0;
    for (auto& target : targets->second) {
        auto found = service.targets.find(target->entry.id);
        auto* runtime = found == service.targets.end() ? nullptr : &found->second;
        if (!filter.mayUse(*target, runtime))
            continue;
        Candidate candidate;
        candidate.target = target;
        candidate.occupancy = runtime ? runtime->occupancy(now) : 0;
        candidate.slots = state.admission().placesOf(target->entry.slots, filter.isEngine());
        candidate.sameDataCentre = target->entry.dataCentre == state.settings().dataCentre;
        candidate.sameRegion = state.settings().regionOf(target->entry.dataCentre) == state.settings().region;
        candidate.weights = filter.knownWeights(*target, runtime);
        candidate.failureShare = runtime ? runtime->failureShare : 0;
        candidate.cutsSoon = cutsSoon(runtime, now);
        ++set.usable;
        set.places += candidate.slots;
        if (hasPlace(state, candidate, runtime, filter.isEngine(), now) && filter.hasColdRate(*target, runtime))
            set.free.push_back(std::move(candidate));
    }
    return set;
}

} // namespace Lavenderloft::Dispatch::Queries
