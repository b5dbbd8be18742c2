#include "Base/ManualClock.h"
#include "Staging/Commands/RecordEngineStart.h"
#include "Staging/Queries/FindOwnTarget.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

namespace {

constexpr double coldRequestsPerSecond = 4;

Fleet::NodeSettings makeSettings()
{
    Fleet::NodeSettings settings;
    settings.localService = "e";
    settings.localEngine = Http::Endpoint { "10.0.0.1", 9000 };
    return settings;
}

Fleet::KnownTarget makeTarget(const std::string& host, unsigned slots)
{
    Fleet::KnownTarget target;
    target.entry.address = { host, 9000 };
    target.entry.slots = slots;
    return target;
}

// The own target has 8 slots, another one has 32.
Fleet::FleetSnapshot makeSnapshot(Fleet::KnownTarget own = makeTarget("10.0.0.1", 8))
{
    Fleet::Service service;
    service.coldStart = 5s;
    service.coldRequestsPerSecond = coldRequestsPerSecond;
    auto configuration = std::make_shared<Fleet::Configuration>();
    configuration->services["e"] = service;
    Fleet::FleetSnapshot snapshot;
    snapshot.configuration = configuration;
    snapshot.targetsByService["e"] = { std::make_shared<Fleet::KnownTarget>(makeTarget("10.0.0.2", 32)), std::make_shared<Fleet::KnownTarget>(own) };
    return snapshot;
}

EngineReport reportOf(unsigned running, unsigned queued)
{
    EngineReport report;
    report.running = running;
    report.queued = queued;
    return report;
}

} // namespace

// Guards against grants of slots that are taken, that belong to another engine, or of an engine that is not published;
// and against a count that wraps around when the engine has more requests than slots.
Test(OwnTarget, countsTheFreeSlotsOfTheOwnEngine)
{
    auto snapshot = makeSnapshot();
    cr_assert_eq(Queries::countFreeSlots(snapshot, makeSettings(), reportOf(0, 0)), 8);
    cr_assert_eq(Queries::countFreeSlots(snapshot, makeSettings(), reportOf(5, 2)), 1);
    cr_assert_eq(Queries::countFreeSlots(snapshot, makeSettings(), reportOf(8, 4)), 0);
    snapshot.targetsByService["e"].pop_back();
    cr_assert_eq(Queries::countFreeSlots(snapshot, makeSettings(), reportOf(0, 0)), 0);
}

// Guards against a full load for an engine that the store reports as cold.
Test(OwnTarget, isColdAccordingToItsEntry)
{
    Base::ManualClock clock;
    auto own = makeTarget("10.0.0.1", 8);
    own.learnedAt = clock.now();
    own.entry.coldRemaining = 2s;
    auto snapshot = makeSnapshot(own);
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), {}, clock.now() + 1s), std::optional(coldRequestsPerSecond));
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), {}, clock.now() + 2s), std::nullopt);
}

// Guards against a full load for an engine that restarted, until its entry in the store follows.
Test(OwnTarget, isColdFromItsFirstReportAfterARestart)
{
    Base::ManualClock clock;
    auto snapshot = makeSnapshot();
    EngineStart start;
    Commands::recordEngineStart(start, 100, snapshot, makeSettings(), clock.now());
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), start, clock.now()), std::nullopt, "the agent started later than the engine");
    clock.advance(10s);
    Commands::recordEngineStart(start, 100, snapshot, makeSettings(), clock.now());
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), start, clock.now()), std::nullopt);
    Commands::recordEngineStart(start, 200, snapshot, makeSettings(), clock.now());
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), start, clock.now() + 4s), std::optional(coldRequestsPerSecond));
    cr_assert_eq(Queries::findColdRate(snapshot, makeSettings(), start, clock.now() + 5s), std::nullopt);
}
