#include "Bench/PermitComparison.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Bench;

// Guards against exceeding the limit of a cold target, with the current and the planned number of routers.
Test(PermitComparison, coldTargetNeverHoldsMoreThanItsLimit)
{
    for (unsigned routers : { 7u, 890u }) {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            PermitScenario scenario;
            scenario.routers = routers;
            scenario.seed = seed;
            cr_assert_eq(peakWithPermits(scenario), scenario.coldLimit);
            cr_assert_gt(peakWithRouterLimits(scenario), scenario.coldLimit);
        }
    }
}
