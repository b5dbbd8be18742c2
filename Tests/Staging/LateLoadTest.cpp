#include "Staging/TestEngine.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

namespace {

// Runs until the engine holds all layers of the version and no bad one.
bool runUntilSound(TestStaging& staging, uint64_t version)
{
    Fleet::HeldLayers all { 0, TestEngine::layerCount, version };
    return staging.runUntil([&] { return staging.engine.report.layers == all && staging.engine.badLayers.empty(); });
}

// Runs the event loop for a time, whatever happens.
void runFor(TestStaging& staging, std::chrono::milliseconds duration)
{
    auto until = staging.clock.now() + duration;
    while (staging.clock.now() < until)
        staging.context.run_one_for(50ms);
}

} // namespace

// Guards against an engine that accepts a load request seconds after the pieces were verified, and loads a piece that has
// turned bad meanwhile: the agent had given up waiting for the response and took the version for whole.
Test(LateLoad, loadsNoPieceThatTurnedBadBeforeTheRequestWasAccepted)
{
    TestStaging staging;
    staging.engine.heldLoads = 1;
    staging.engine.loadHold = 4s;
    staging.engine.onLoadRequest = [&] {
        staging.engine.stored[2] = "damaged";
        staging.engine.onLoadRequest = nullptr;
    };
    staging.declare(2);
    staging.node.start();
    cr_assert(runUntilSound(staging, 2));
    runFor(staging, 5s);
    cr_assert(staging.engine.badLayers.empty(), "the held request was accepted after all");
    cr_assert_eq(staging.engine.brokenLoads, 0);
}

// Guards against an engine that accepts a load request of one version while the pieces of the next one are stored there.
Test(LateLoad, storesNoPiecesOfAnotherVersionWhileARequestMayStillBeAccepted)
{
    TestStaging staging;
    staging.engine.editions[2] = " of version 2";
    staging.engine.edition = " of version 2";
    staging.engine.heldLoads = 1;
    staging.engine.loadHold = 3s;
    staging.engine.onLoadRequest = [&] {
        staging.engine.edition = " of version 3";
        staging.engine.onLoadRequest = nullptr;
        staging.declare(3);
    };
    staging.declare(2);
    staging.node.start();
    cr_assert(runUntilSound(staging, 3));
    runFor(staging, 4s);
    cr_assert_eq(staging.engine.brokenLoads, 0);
    cr_assert(staging.engine.badLayers.empty());
    cr_assert_eq(staging.engine.report.layers->version, 3);
}

// Guards against an engine that keeps layers of a bad piece: the agent was stopped while its load request was under way,
// and took the response for an acceptance of the pieces that it had verified.
Test(LateLoad, replacesLayersThatWereAcceptedWhileTheAgentWasStopped)
{
    TestStaging staging;
    staging.engine.onLoadAccepted = [&] {
        staging.clock.skip(5s);
        staging.engine.stored[2] = "damaged";
    };
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntil([&] { return !staging.engine.badLayers.empty(); }));
    cr_assert(runUntilSound(staging, 2));
}

// Guards against an engine that loads the pieces of one version as another one: an order of a process that was killed was
// accepted while its successor stored the pieces of the next version.
Test(LateLoad, replacesLayersThatAnotherProcessRequested)
{
    TestStaging staging;
    staging.engine.editions[3] = " of version 3";
    staging.engine.edition = "";
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    staging.engine.acceptOtherLoad(3);
    cr_assert_not(staging.engine.badLayers.empty());
    staging.engine.edition = " of version 3";
    staging.declare(3);
    cr_assert(runUntilSound(staging, 3));
}

// Guards against loads of sound engines that take longer than one request, and against needless reloads.
Test(LateLoad, aResponseInTimeNeedsNoFurtherRequest)
{
    TestStaging staging;
    staging.declare(2);
    staging.node.start();
    cr_assert(staging.runUntilLoaded(1));
    runFor(staging, 1s);
    cr_assert_eq(staging.engine.loads, 1);
}
