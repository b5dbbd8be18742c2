#include "Bench/RolloutFleet.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Bench;
using namespace std::chrono_literals;

namespace {

// Ends a hang; no verdict depends on it.
constexpr auto hangLimit = 60s;

} // namespace

// Guards against replicas that each read the whole model from the origin, and against wrong bytes.
Test(Rollout, bringsAModelToAllReplicasOfThreeRegions)
{
    FleetShape shape;
    shape.replicas = 6;
    shape.regions = 3;
    RolloutFleet fleet(shape);
    auto model = makeModel({ .chunkCount = 24 });
    fleet.addModel(model);
    fleet.want(std::vector { model.digest });
    cr_assert(fleet.awaitComplete(model.digest, hangLimit));
    for (unsigned i = 0; i < fleet.size(); ++i)
        cr_assert(fleet.holdsExactly(i, model));
    cr_assert_lt(fleet.links().originBytes(), 2 * model.totalBytes);
}
