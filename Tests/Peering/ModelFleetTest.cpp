#include "Peering/ModelFleet.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

namespace {

constexpr unsigned defaultSeeds = 200;
constexpr unsigned stepsShown = 40;

unsigned numberFromEnvironment(const char* name, unsigned otherwise)
{
    auto* text = std::getenv(name);
    return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : otherwise;
}

std::string lastSteps(const ModelFleet& fleet)
{
    std::string text;
    auto& steps = fleet.steps();
    for (size_t i = steps.size() > stepsShown ? steps.size() - stepsShown : 0; i < steps.size(); ++i)
        text += "\n  " + steps[i];
    return text;
}

} // namespace

// Guards against requests that are denied by an older configuration, and against a configuration that comes back older: a
// router counts as complete up to a time although it lacks what was published before. Also against routers that go on with
// different configurations, because one started, or was cut off, while the store returned from an older copy. Seeds are set by
// LAVENDERLOFT_MODEL_SEED (the first) and LAVENDERLOFT_MODEL_RUNS.
Test(ModelFleet, noRouterClaimsMoreThanItKnows)
{
    auto first = numberFromEnvironment("LAVENDERLOFT_MODEL_SEED", 1);
    auto runs = numberFromEnvironment("LAVENDERLOFT_MODEL_RUNS", defaultSeeds);
    size_t checks = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        ModelFleet fleet(seed, seed % 10 == 0 ? 200s : 20s);
        auto violation = fleet.run();
        checks += fleet.completenessChecks();
        cr_expect(violation.empty(), "seed %u: %s%s", seed, violation.c_str(), violation.empty() ? "" : lastSteps(fleet).c_str());
    }
    cr_expect_gt(checks, 100u * runs, "routers hardly ever count as complete");
}
