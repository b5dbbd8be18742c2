#include "Routing/Queries/SelectTarget.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <array>

namespace Lavenderloft::Routing::Queries {

namespace {

    constexpr std::array<std::string_view, tierCount> tierReasons { "same-data-centre", "same-region", "other-region" };

    bool contains(const Targets& targets, const std::shared_ptr<Target>& target)
    {
        return std::find(targets.begin(), targets.end(), target) != targets.end();
    }

    size_t countOfTier(const Targets& targets, Tier tier)
    {
        return static_cast<size_t>(std::count_if(targets.begin(), targets.end(), [&](auto& target) { return target->tier() == tier; }));
    }

    // The remaining targets by tier, nearest first, without tiers that reached refusalsPerTier. If no tier is
    // left, returns all remaining targets as one group.
    std::vector<Targets> listTiers(const Targets& remaining, const Targets& tried)
    {
        std::vector<Targets> tiers;
        for (auto tier : { Tier::SameDataCentre, Tier::SameRegion, Tier::OtherRegion }) {
            if (countOfTier(tried, tier) >= refusalsPerTier)
                continue;
            Targets candidates;
            std::copy_if(remaining.begin(), remaining.end(), std::back_inserter(candidates), [&](auto& target) { return target->tier() == tier; });
            if (!candidates.empty())
                tiers.push_back(std::move(candidates));
        }
        if (tiers.empty())
            tiers.push_back(remaining);
        return tiers;
    }

    // Lets the policy choose in each tier, and takes the nearest choice with a free slot, or the least loaded
    // one if none has. Otherwise, the requests of a data centre that has just returned to service would queue
    // at its cold targets while other data centres have capacity.
    std::shared_ptr<Target> chooseAcrossTiers(const std::vector<Targets>& tiers, const TargetPolicy& policy, uint64_t prefix, Base::RandomSource& random)
    {
        std::shared_ptr<Target> best;
        for (auto& candidates : tiers) {
            auto& target = candidates[policy.choose(candidates, prefix, random)];
            if (target->relativeLoad() < 1)
                return target;
            if (!best || target->relativeLoad() < best->relativeLoad())
                best = target;
        }
        return best;
    }

    // Removes targets that failed recently, unless there are no others.
    Targets preferResponsive(Targets targets, Base::TimePoint now)
    {
        Targets responsive;
        std::copy_if(targets.begin(), targets.end(), std::back_inserter(responsive), [&](auto& target) { return !target->isInBackoff(now); });
        return responsive.empty() ? targets : responsive;
    }

    Selection selectHome(const TargetTable& table, const LiveRequest& request)
    {
        auto home = table.vms().find(keyHome(request));
        return home ? Selection { *home, "key-home" } : Selection { nullptr, "key-home-not-known" };
    }

} // namespace

std::string keyHome(const LiveRequest& request)
{
    // The separator keeps ("ab", "c") and ("a", "bc") apart. Header values contain no zero byte.
    return Base::chooseMember(request.organisation + '\0' + request.key, request.keyHomes);
}

Selection selectTarget(const TargetTable& table, const LiveRequest& request, const Targets& tried, const TargetPolicy& policy, Base::RandomSource& random, Base::TimePoint now, const std::string& digest)
{
    if (!request.repeatable)
        return selectHome(table, request);
    auto subset = table.pools().find(request.destination);
    if (!subset || (*subset)->empty())
        return { nullptr, "no-target-ready" };
    Targets serving;
    std::copy_if((*subset)->begin(), (*subset)->end(), std::back_inserter(serving), [&](auto& target) { return target->servesAdapter(request.adapter); });
    if (serving.empty())
        return { nullptr, "no-target-with-adapter" };
    Targets remaining;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(remaining), [&](auto& target) { return !contains(tried, target) && (digest.empty() || target->servingDigest() == digest); });
    if (remaining.empty())
        return { nullptr, "all-targets-tried" };
    auto candidates = preferResponsive(std::move(remaining), now);
    if (policy.ignoresTiers())
        return { candidates[policy.choose(candidates, request.prefix, random)], policy.name() };
    auto target = chooseAcrossTiers(listTiers(candidates, tried), policy, request.prefix, random);
    return { target, tierReasons[static_cast<size_t>(target->tier())] };
}

} // namespace Lavenderloft::Routing::Queries
