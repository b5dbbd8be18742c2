#include "Base/ManualClock.h"
#include "Staging/Queries/PlanLoad.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against routers that are not told of a planned abort, or that are told of one that is not planned.
Test(TimeUntilAbort, announcesPlannedAbortsOnly)
{
    Base::ManualClock clock;
    std::optional<Queries::LoadPlan> plan = Queries::LoadPlan { clock.now() + 3s, LoadMode::AbortRunning };
    cr_assert_eq(Queries::timeUntilAbort(plan, clock.now() + 1s), std::optional<std::chrono::milliseconds>(2s));
    cr_assert_eq(Queries::timeUntilAbort(plan, clock.now() + 4s), std::optional<std::chrono::milliseconds>(0s), "the abort is due");
    plan->mode = LoadMode::FinishRunning;
    cr_assert_eq(Queries::timeUntilAbort(plan, clock.now()), std::nullopt);
    cr_assert_eq(Queries::timeUntilAbort(std::nullopt, clock.now()), std::nullopt);
}

// Guards against an engine that serves and postpones fetching the weights that replace its own.
Test(IsFetchDeferred, onlyEnginesThatServeNothingWait)
{
    Base::ManualClock clock;
    Fleet::NodeSettings settings;
    settings.address = "10.0.0.9";
    settings.localService = "e";
    Fleet::KnownTarget serving;
    serving.entry.address = { "10.0.0.1", 1 };
    serving.entry.layers = Fleet::HeldLayers { 0, 16, 1 };
    Fleet::FleetSnapshot snapshot;
    snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(serving));
    DesiredWeights desired { "m", { 2, clock.now() }, 16, 48, {} };
    auto earliest = Queries::earliestFetch(snapshot, settings, desired.declared, desired.layers);
    cr_assert(Queries::isFetchDeferred(snapshot, settings, desired, 0, clock.now()));
    cr_assert_not(Queries::isFetchDeferred(snapshot, settings, desired, 0, earliest));
    cr_assert_not(Queries::isFetchDeferred(snapshot, settings, desired, 1, clock.now()));
}
