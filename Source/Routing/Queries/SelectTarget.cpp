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

    // Targets of the first tier that has some left and was not left after refusals; else any that are left.
    Targets bestTier(const Targets& left, const Targets& tried)
    {
        for (auto tier : { Tier::SameDataCentre, Tier::SameRegion, Tier::OtherRegion }) {
            if (countOfTier(tried, tier) >= refusalsPerTier)
                continue;
            Targets candidates;
            std::copy_if(left.begin(), left.end(), std::back_inserter(candidates), [&](auto& target) { return target->tier() == tier; });
            if (!candidates.empty())
                return candidates;
        }
        return left;
    }

    // Targets that refused or broke lately are used only when no other is left.
    Targets preferResponsive(Targets targets, Base::TimePoint now)
    {
        Targets responsive;
        std::copy_if(targets.begin(), targets.end(), std::back_inserter(responsive), [&](auto& target) { return !target->isAvoided(now); });
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
    // The separator keeps ("ab", "c") and ("a", "bc") apart; header values hold no zero byte.
    return Base::chooseMember(request.organisation + '\0' + request.key, request.keyHomes);
}

Selection selectTarget(const TargetTable& table, const LiveRequest& request, const Targets& tried, const TargetPolicy& policy, Base::RandomSource& random, Base::TimePoint now)
{
    if (!request.repeatable)
        return selectHome(table, request);
    auto subset = table.pools().find(request.destination);
    if (!subset || (*subset)->empty())
        return { nullptr, "no-target-ready" };
    Targets left;
    std::copy_if((*subset)->begin(), (*subset)->end(), std::back_inserter(left), [&](auto& target) { return !contains(tried, target); });
    if (left.empty())
        return { nullptr, "all-targets-tried" };
    auto candidates = preferResponsive(std::move(left), now);
    if (!policy.wantsAllTiers())
        candidates = bestTier(candidates, tried);
    auto& target = candidates[policy.choose(candidates, request.prefix, random)];
    return { target, policy.wantsAllTiers() ? policy.name() : tierReasons[static_cast<size_t>(target->tier())] };
}

} // namespace Lavenderloft::Routing::Queries
