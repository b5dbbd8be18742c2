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

    // The targets of each tier that has some left and was not left after refusals, the nearest first;
    // when every tier was left, all targets together.
    std::vector<Targets> listTiers(const Targets& left, const Targets& tried)
    {
        std::vector<Targets> tiers;
        for (auto tier : { Tier::SameDataCentre, Tier::SameRegion, Tier::OtherRegion }) {
            if (countOfTier(tried, tier) >= refusalsPerTier)
                continue;
            Targets candidates;
            std::copy_if(left.begin(), left.end(), std::back_inserter(candidates), [&](auto& target) { return target->tier() == tier; });
            if (!candidates.empty())
                tiers.push_back(std::move(candidates));
        }
        if (tiers.empty())
            tiers.push_back(left);
        return tiers;
    }

    // The choice of the nearest tier whose choice has a free slot. Without this, a data centre that has
    // just returned would keep its own requests waiting at cold targets while others have room. When no
    // choice has a free slot, the shortest wait wins.
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
    Targets left;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(left), [&](auto& target) { return !contains(tried, target) && (digest.empty() || target->servingDigest() == digest); });
    if (left.empty())
        return { nullptr, "all-targets-tried" };
    auto candidates = preferResponsive(std::move(left), now);
    if (policy.wantsAllTiers())
        return { candidates[policy.choose(candidates, request.prefix, random)], policy.name() };
    auto target = chooseAcrossTiers(listTiers(candidates, tried), policy, request.prefix, random);
    return { target, tierReasons[static_cast<size_t>(target->tier())] };
}

} // namespace Lavenderloft::Routing::Queries
