#include "Routing/TwoChoicesPolicy.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Routing {

namespace {

    // Maximum load of the affinity target relative to the other choice.
    constexpr double affinityFactor = 1.5;

    size_t prefixAffinityTarget(const Targets& targets, uint64_t prefix)
    {
        size_t best = 0;
        uint64_t bestWeight = 0;
        for (size_t i = 0; i < targets.size(); ++i) {
            auto weight = Base::stableHash(targets[i]->vm(), prefix);
            if (weight >= bestWeight) {
                best = i;
                bestWeight = weight;
            }
        }
        return best;
    }

    // Returns a random index other than the given one.
    size_t anotherIndex(size_t index, size_t count, Base::RandomSource& random)
    {
        return (index + 1 + random.nextBelow(count - 1)) % count;
    }

} // namespace

size_t TwoChoicesPolicy::choose(const Targets& targets, uint64_t prefix, Base::RandomSource& random) const
{
    if (targets.size() == 1)
        return 0;
    auto first = prefix ? prefixAffinityTarget(targets, prefix) : random.nextBelow(targets.size());
    auto second = anotherIndex(first, targets.size(), random);
    auto factor = prefix ? affinityFactor : 1.0;
    return targets[first]->relativeLoad() <= factor * targets[second]->relativeLoad() ? first : second;
}

} // namespace Lavenderloft::Routing
