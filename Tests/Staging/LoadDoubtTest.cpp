#include "Base/ManualClock.h"
#include "Staging/Commands/RecordLoadReport.h"
#include "Staging/Commands/RecordLoadRequest.h"
#include "Staging/PieceName.h"
#include "Staging/Queries/ReadLoadState.h"
#include "Staging/TestEngine.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace Lavenderloft::Staging::Commands;
using namespace Lavenderloft::Staging::Queries;
using namespace std::chrono_literals;

namespace {

constexpr unsigned layerCount = TestEngine::layerCount;

Fleet::HeldLayers allLayers(uint64_t version)
{
    return { 0, layerCount, version };
}

EngineReport makeReport(uint64_t acceptedLoads, const std::optional<Fleet::HeldLayers>& layers)
{
    EngineReport report;
    report.startedAt = 7;
    report.acceptedLoads = acceptedLoads;
    report.layers = layers;
    return report;
}

// An engine that holds version 1 and has accepted three load requests.
struct Fixture {
    Fixture()
    {
        recordLoadReport(state, makeReport(3, allLayers(1)), clock.now());
        recordInheritedPiecesWhole(state);
    }

    PendingLoad makeLoad(uint64_t version) const
    {
        PendingLoad load;
        load.weights.declared.version = version;
        load.layers = allLayers(version);
        load.acceptedBefore = state.acceptedLoads;
        load.requestedAt = clock.now();
        load.notAcceptedAt = clock.now();
        return load;
    }

    Base::ManualClock clock;
    LoadState state;
};

bool runUntilSound(TestStaging& staging, uint64_t version)
{
    return staging.runUntil([&] { return staging.engine.report.layers == allLayers(version) && staging.engine.badLayers.empty(); });
}

void runFor(TestStaging& staging, std::chrono::milliseconds duration)
{
    auto until = staging.clock.now() + duration;
    while (staging.clock.now() < until)
        staging.context.run_one_for(50ms);
}

} // namespace

// Guards against an agent that takes the acceptance of another request, which named the same count, for that of its own, and
// relies on layers of the other version.
Test(LoadDoubt, theAcceptanceOfAnotherRequestIsNotTakenForThatOfThePendingOne)
{
    Fixture fixture;
    recordLoadRequest(fixture.state, fixture.makeLoad(3));
    recordLoadResponse(fixture.state, std::nullopt, true);
    fixture.clock.advance(1s);
    recordLoadReport(fixture.state, makeReport(4, allLayers(2)), fixture.clock.now());
    recordLoadVerification(fixture.state, true);
    recordLoadReport(fixture.state, makeReport(4, allLayers(2)), fixture.clock.now());
    cr_assert_not(canRelyOnLayers(fixture.state), "version 2 was loaded from the pieces of version 3");
}

// Guards against doubts that end with a response which does not tell when the layers were loaded.
Test(LoadDoubt, aRequestThatIsInEffectAlreadyEndsNoDoubt)
{
    Fixture fixture;
    auto loading = makeReport(4, allLayers(1));
    loading.busy = true;
    recordLoadReport(fixture.state, loading, fixture.clock.now());
    cr_assert(fixture.state.isInDoubt);
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, LoadResponse::AlreadyLoaded, true);
    recordLoadVerification(fixture.state, true);
    cr_assert_not(canRelyOnLayers(fixture.state));
}

// Guards against an agent that relies on layers which an earlier process's request loads from damaged pieces, because the
// engine answers its own request for the same layers with "in effect already".
Test(LoadDoubt, replacesLayersThatAnotherProcessIsLoading)
{
    TestStaging staging;
    staging.engine.report.layers = allLayers(1);
    staging.engine.loadDuration = 1500ms;
    staging.declare(2);
    unsigned reads = 0;
    // The request of the earlier process is accepted before the agent fetches the damaged piece.
    staging.engine.onStoredPieceRead = [&](unsigned) {
        if (++reads == 1)
            staging.engine.acceptOtherLoad(2);
    };
    staging.node.start();
    cr_assert(staging.runUntil([&] { return !staging.engine.badLayers.empty(); }));
    cr_assert(runUntilSound(staging, 2));
}

// Guards against an agent that forgets an attempt which it has just sent, because the first one was long ago.
Test(LoadDoubt, aRepeatedAttemptStaysPending)
{
    Fixture fixture;
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, std::nullopt, true);
    fixture.clock.advance(9900ms);
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    fixture.clock.advance(200ms);
    recordLoadReport(fixture.state, makeReport(3, allLayers(1)), fixture.clock.now());
    cr_assert(findPendingWeights(fixture.state).has_value(), "the last attempt was sent 0.2 s ago");
}

// Guards against doubts about an engine whose response in time comes just after the request expired.
Test(LoadDoubt, aResponseInTimeAfterTheExpiryLeavesNoDoubt)
{
    Fixture fixture;
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, std::nullopt, true);
    fixture.clock.advance(9900ms);
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    fixture.clock.advance(200ms);
    recordLoadReport(fixture.state, makeReport(3, allLayers(1)), fixture.clock.now());
    recordLoadResponse(fixture.state, LoadResponse::Started, true);
    recordLoadReport(fixture.state, makeReport(4, allLayers(2)), fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state));
}

// Guards against layers in doubt that count as sound between the response to the request that replaces them and the report that
// names the new ones.
Test(LoadDoubt, layersInDoubtStaySoUntilTheEngineReportsTheNewOnes)
{
    Fixture fixture;
    fixture.state.isInDoubt = true;
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, LoadResponse::Started, true);
    auto loading = makeReport(4, allLayers(1));
    loading.busy = true;
    recordLoadReport(fixture.state, loading, fixture.clock.now());
    cr_assert_not(canRelyOnLayers(fixture.state), "the engine still runs requests on version 1, which is in doubt");
}

// Guards against a store that is taken for one before the acceptance: an engine that does not count its loads was busy.
Test(LoadDoubt, aBusyEngineThatDoesNotCountMayHaveAcceptedTheRequest)
{
    Fixture fixture;
    auto idle = makeReport(0, allLayers(1));
    idle.startedAt = 8;
    idle.acceptedLoads.reset();
    recordLoadReport(fixture.state, idle, fixture.clock.now());
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, std::nullopt, true);
    auto notAcceptedAt = fixture.clock.now();
    fixture.clock.advance(1s);
    auto loading = idle;
    loading.busy = true;
    recordLoadReport(fixture.state, loading, fixture.clock.now());
    cr_assert(fixture.state.pending->notAcceptedAt == notAcceptedAt);
}

// Guards against a malformed report that ends a doubt.
Test(LoadDoubt, aReportWithoutStartEndsNoDoubt)
{
    Fixture fixture;
    fixture.state.isInDoubt = true;
    auto malformed = makeReport(3, allLayers(1));
    malformed.startedAt = 0;
    recordLoadReport(fixture.state, malformed, fixture.clock.now());
    recordLoadReport(fixture.state, makeReport(3, allLayers(1)), fixture.clock.now());
    cr_assert_not(canRelyOnLayers(fixture.state));
}

// Guards against needless reloads where reports take some time: a load in the first seconds of the process is verified, and a store shortly before the request
// was taken for one after its acceptance.
Test(LoadDoubt, eachVersionOfASoundEngineNeedsOneRequest)
{
    TestStaging staging;
    staging.engine.report.layers = allLayers(1);
    staging.engine.reportDelay = 150ms;
    staging.node.start();
    constexpr uint64_t lastVersion = 6;
    for (uint64_t version = 2; version <= lastVersion; ++version) {
        staging.engine.edition = " of version " + std::to_string(version);
        runFor(staging, std::chrono::milliseconds(13 * version));
        staging.declare(version);
        cr_assert(runUntilSound(staging, version));
        runFor(staging, 1s);
        cr_expect_eq(staging.engine.loads, version - 1, "%u loads until version %lu", staging.engine.loads, version);
    }
}

// Guards against a sound engine that loads three times, because one read of a piece had no success.
Test(LoadDoubt, aFailedReadIsNoBadPiece)
{
    TestStaging staging;
    staging.engine.onLoadAccepted = [&] {
        staging.clock.skip(5s);
        staging.engine.failedReads = 1;
    };
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    runFor(staging, 3s);
    cr_assert_eq(staging.engine.loads, 1, "%u loads", staging.engine.loads);
}

// Guards against an agent that relies on layers which its predecessor had in doubt, or which were loaded after its end.
Test(LoadDoubt, replacesBadLayersThatWereLoadedBeforeItsStart)
{
    TestStaging staging;
    staging.engine.acceptOtherLoad(2);
    cr_assert_not(staging.engine.badLayers.empty());
    staging.declare(2);
    staging.node.start();
    cr_assert(runUntilSound(staging, 2));
}

// Guards against needless loads after each start of an agent.
Test(LoadDoubt, wholePiecesNeedNoLoadAfterARestartOfTheAgent)
{
    TestStaging staging;
    for (unsigned piece = 0; piece < TestEngine::pieceCount; ++piece)
        staging.engine.stored[piece] = TestEngine::contentOf(piece);
    staging.engine.acceptOtherLoad(2);
    staging.declare(2);
    staging.node.start();
    auto path = encodePiecePath({ "m", 2, 0, "north" });
    cr_assert(staging.runUntil([&] { return staging.requestPiece(path).status == 200; }));
    runFor(staging, 1s);
    cr_assert_eq(staging.engine.loads, 1);
    cr_assert(staging.engine.fetches.empty());
}

// Guards against requests that go on with layers in doubt until they end.
Test(LoadDoubt, requestsOnLayersInDoubtAreAborted)
{
    TestStaging staging;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    staging.engine.report.running = 1;
    staging.engine.stored[2] = "damaged";
    staging.engine.report.layers = allLayers(1);
    staging.engine.acceptOtherLoad(2);
    staging.engine.loadModes.clear();
    cr_assert(staging.runUntil([&] { return !staging.engine.loadModes.empty(); }));
    cr_assert(staging.engine.loadModes.front() == LoadMode::AbortRunning);
}

// Guards against an agent that sends load requests without pause to an engine that does not answer them. The bound is the target of
// one request per half second, the delay after a rejection.
Test(LoadDoubt, anEngineThatBreaksOffEachRequestIsAskedWithDelay)
{
    TestStaging staging;
    staging.engine.onLoadRequest = [] { throw std::runtime_error("broken off"); };
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntil([&] { return staging.engine.loadRequests > 0; }));
    auto before = staging.engine.loadRequests;
    runFor(staging, 4s);
    auto sent = staging.engine.loadRequests - before;
    cr_assert_leq(sent, 9, "%u requests in 4 s", sent);
}

// Guards against an agent that relies on layers which its own request of the version before, held for longer than such a request is
// waited for, has loaded from the pieces of the next version.
Test(LoadDoubt, aRequestThatExpiredIsNotTakenForTheNextOne)
{
    TestStaging staging;
    staging.engine.editions[2] = " of version 2";
    staging.engine.edition = " of version 2";
    constexpr unsigned allRequests = 100;
    staging.engine.heldLoads = allRequests;
    staging.engine.loadHold = 12500ms;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntil([&] { return staging.engine.loadRequests > 1; }));
    staging.engine.edition = " of version 3";
    staging.declare(3);
    cr_assert(staging.runUntil([&] { return staging.engine.loads > 0; }));
    auto until = staging.clock.now() + 2s;
    auto path = encodePiecePath({ "m", 2, 0, "north" });
    while (staging.clock.now() < until && !staging.engine.badLayers.empty()) {
        // An agent serves pieces of versions for which it has no checklist if it relies on its engine's layers of that version.
        auto response = staging.requestPiece(path);
        cr_assert_neq(response.status, 200, "the agent relies on bad layers");
        runFor(staging, 20ms);
    }
    staging.engine.heldLoads = 0;
    cr_assert(runUntilSound(staging, 3));
}

// Guards against doubts about a sound engine: its count rises by the first attempt, which had no response, and it answers the second
// with "in effect already".
Test(LoadDoubt, anUnansweredAttemptThatIsInEffectLeavesNoDoubt)
{
    Fixture fixture;
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, std::nullopt, true);
    recordLoadRequest(fixture.state, fixture.makeLoad(2));
    recordLoadResponse(fixture.state, LoadResponse::AlreadyLoaded, true);
    recordLoadVerification(fixture.state, true);
    recordLoadReport(fixture.state, makeReport(4, allLayers(2)), fixture.clock.now());
    cr_assert(canRelyOnLayers(fixture.state));
}
