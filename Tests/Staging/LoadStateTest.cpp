#include "Base/ManualClock.h"
#include "Staging/Commands/RecordLoadReport.h"
#include "Staging/Commands/RecordLoadRequest.h"
#include "Staging/Queries/ReadLoadState.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace Lavenderloft::Staging::Commands;
using namespace Lavenderloft::Staging::Queries;
using namespace std::chrono_literals;

namespace {

constexpr unsigned layerCount = 16;
constexpr Fleet::HeldLayers allLayers { 0, layerCount, 2 };

EngineReport makeReport(uint64_t acceptedLoads, std::optional<Fleet::HeldLayers> layers = std::nullopt)
{
    EngineReport report;
    report.startedAt = 7;
    report.acceptedLoads = acceptedLoads;
    report.layers = layers;
    return report;
}

// An engine that has accepted three load requests, and a request for version 2 that is under way.
struct Fixture {
    Fixture()
    {
        recordLoadReport(state, makeReport(3), clock.now());
        recordInheritedPiecesWhole(state);
        PendingLoad load;
        load.weights.declared.version = 2;
        load.layers = { 0, layerCount, 2 };
        load.acceptedBefore = 3;
        load.requestedAt = clock.now();
        load.notAcceptedAt = clock.now();
        recordLoadRequest(state, load);
    }

    Base::ManualClock clock;
    LoadState state;
};

} // namespace

// Guards against an engine that serves layers which it loaded long after their pieces were verified.
Test(LoadState, aLateAcceptanceNeedsAVerification)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, LoadResponse::Started, false);
    cr_assert_not(canRelyOnLayers(fixture.state));
    recordLoadVerification(fixture.state, true);
    cr_assert_not(canRelyOnLayers(fixture.state), "the engine has not loaded yet");
    recordLoadReport(fixture.state, makeReport(3), fixture.clock.now());
    cr_assert(findPendingWeights(fixture.state).has_value(), "a report from before the acceptance");
    recordLoadReport(fixture.state, makeReport(4, allLayers), fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state));
    cr_assert_not(findPendingWeights(fixture.state).has_value());
}

// Guards against an engine that is believed to hold the requested version although it accepted an earlier request for
// another one, over the pieces of the requested version.
Test(LoadState, theLayersShowWhichRequestWasAccepted)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, std::nullopt, true);
    recordLoadReport(fixture.state, makeReport(4), fixture.clock.now());
    recordLoadVerification(fixture.state, true);
    recordLoadReport(fixture.state, makeReport(4, Fleet::HeldLayers { 0, layerCount, 1 }), fixture.clock.now());
    cr_assert(fixture.state.isInDoubt);
}

// Guards against layers that are believed because the engine says that it holds them already.
Test(LoadState, layersThatWereHeldBeforeTheRequestStayInDoubt)
{
    Fixture fixture;
    fixture.state.isInDoubt = true;
    recordLoadResponse(fixture.state, LoadResponse::AlreadyLoaded, true);
    cr_assert(fixture.state.isInDoubt);
    cr_assert_not(findPendingWeights(fixture.state).has_value());
}

// Guards against doubts that end because a report lacks the time of the engine's start.
Test(LoadState, aReportWithoutStartTimeEndsNoDoubt)
{
    Fixture fixture;
    fixture.state.isInDoubt = true;
    auto report = makeReport(3);
    report.startedAt = 0;
    recordLoadReport(fixture.state, report, fixture.clock.now());
    cr_assert(fixture.state.isInDoubt);
}

// Guards against a delay of loads whose response arrives in time.
Test(LoadState, anAcceptanceInTimeIsSettled)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, LoadResponse::Started, true);
    cr_assert(canRelyOnLayers(fixture.state));
    cr_assert(fixture.state.lifeCycle.phase() == LoadPhase::Settled);
    recordLoadReport(fixture.state, makeReport(3), fixture.clock.now());
    recordLoadReport(fixture.state, makeReport(4), fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state), "reports from before and after the acceptance");
}

// Guards against an agent that forgets a load request because it had no response, or because a repeated one was rejected.
Test(LoadState, anUnansweredRequestStaysPendingUntilTheEngineCountsIt)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, std::nullopt, true);
    recordLoadReport(fixture.state, makeReport(3), fixture.clock.now());
    cr_assert(findPendingWeights(fixture.state).has_value());
    recordLoadRequest(fixture.state, *fixture.state.pending);
    recordLoadResponse(fixture.state, LoadResponse::Conflict, true);
    cr_assert(findPendingWeights(fixture.state).has_value());
    recordLoadReport(fixture.state, makeReport(4), fixture.clock.now());
    cr_assert(fixture.state.lifeCycle.phase() == LoadPhase::Unverified);
    recordLoadVerification(fixture.state, false);
    cr_assert(fixture.state.isInDoubt);
}

// Guards against an agent that waits for ever for an engine which never accepts a request, and against one that relies on
// layers which the engine loads after that.
Test(LoadState, anUnansweredRequestExpiresAndIsDetectedLater)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, std::nullopt, true);
    fixture.clock.advance(11s);
    recordLoadReport(fixture.state, makeReport(3), fixture.clock.now());
    cr_assert_not(findPendingWeights(fixture.state).has_value());
    cr_assert(canRelyOnLayers(fixture.state));
    recordLoadReport(fixture.state, makeReport(4), fixture.clock.now());
    cr_assert_not(canRelyOnLayers(fixture.state));
}

// Guards against an engine that serves what a request of an earlier process loaded.
Test(LoadState, anAcceptedRequestOfAnotherProcessPutsTheEngineInDoubt)
{
    Fixture fixture;
    recordLoadReport(fixture.state, makeReport(4), fixture.clock.now());
    recordLoadResponse(fixture.state, LoadResponse::Conflict, true);
    cr_assert(fixture.state.isInDoubt);
    cr_assert_not(findPendingWeights(fixture.state).has_value());
}

// Guards against doubts about an engine that has lost its layers, and against requests to it that are still waited for.
Test(LoadState, aRestartedEngineIsNotInDoubt)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, std::nullopt, true);
    fixture.state.isInDoubt = true;
    auto report = makeReport(0);
    report.startedAt = 8;
    recordLoadReport(fixture.state, report, fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state));
    cr_assert_not(findPendingWeights(fixture.state).has_value());
    recordLoadResponse(fixture.state, LoadResponse::Started, true);
    cr_assert(fixture.state.lifeCycle.phase() == LoadPhase::Settled, "the response of the engine before");
}

// Guards against bad layers that survive a reload, because an engine does not load again what it holds.
Test(LoadState, layersInDoubtAreAllReplaced)
{
    Fixture fixture;
    recordLoadResponse(fixture.state, LoadResponse::Started, false);
    recordLoadVerification(fixture.state, false);
    Fleet::HeldLayers lower { 0, layerCount / 2, 2 };
    Fleet::HeldLayers upper { layerCount / 2, layerCount, 2 };
    cr_assert(chooseLayers(fixture.state, allLayers, 2, layerCount) == lower);
    cr_assert_not(replacesAllLayers(lower, allLayers), "the lower layers stay as they are");
    cr_assert(chooseLayers(fixture.state, lower, 2, layerCount) == upper);
    cr_assert(replacesAllLayers(upper, lower));
    PendingLoad load;
    load.layers = upper;
    load.replacesAllLayers = true;
    recordLoadRequest(fixture.state, load);
    recordLoadResponse(fixture.state, LoadResponse::Started, true);
    cr_assert_not(canRelyOnLayers(fixture.state), "the engine still holds the lower layers");
    recordLoadReport(fixture.state, makeReport(5, upper), fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state));
    cr_assert(chooseLayers(fixture.state, upper, 2, layerCount) == allLayers);
    cr_assert(chooseLayers(fixture.state, allLayers, 3, layerCount) == (Fleet::HeldLayers { 0, layerCount, 3 }));
}

// Guards against an agent that keeps a part of the layers which an earlier process had begun to replace.
Test(LoadState, aPartThatAnotherProcessLoadedIsReplaced)
{
    LoadState state;
    Fleet::HeldLayers upper { 8, layerCount, 2 };
    recordLoadReport(state, makeReport(5, upper), Base::TimePoint());
    cr_assert(chooseLayers(state, upper, 2, layerCount) == (Fleet::HeldLayers { 0, 8, 2 }));
}
