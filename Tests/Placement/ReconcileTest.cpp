#include "Placement/Commands/RecordOrder.h"
#include "Placement/Commands/SettleLoad.h"
#include "Placement/Queries/DesiredWeights.h"
#include "Placement/Queries/ServedPool.h"

#include "Placement/PlacementFixture.h"

#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Placement;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;
using Membership::ReplicaPhase;
using Queries::OrderKind;

namespace {

constexpr unsigned chunkCount = 3;

// A replica whose orders all succeed; the test changes the observation between orders.
struct ReplicaFixture {
    ReplicaFixture()
    {
        observation.desired = DesiredReplica { "assistant", "v1" };
        observation.engine = EngineStatus { 1 };
        observation.maySwitch = true;
        observation.isClaimValid = true;
    }

    Queries::Order next()
    {
        observation.now = clock.now();
        return Queries::nextOrder(record, observation);
    }

    // Executes orders until there are none left, and returns their kinds.
    std::vector<OrderKind> runUntilIdle()
    {
        std::vector<OrderKind> kinds;
        while (true) {
            auto order = next();
            if (order.kind == OrderKind::None || kinds.size() > 50)
                return kinds;
            kinds.push_back(order.kind);
            Commands::recordOrderExecuted(record, order, observation);
        }
    }

    void fetchAll() { observation.progress = { Weights::TransferStatus::Complete, chunkCount, chunkCount, {} }; }

    void serve(const std::string& digest)
    {
        observation.engine->mode = EngineMode::Ready;
        observation.engine->digest = digest;
    }

    // Brings the replica to Ready with version v1.
    void becomeReady()
    {
        fetchAll();
        runUntilIdle();
        serve("v1");
        runUntilIdle();
        cr_assert(phase() == ReplicaPhase::Ready);
    }

    // Brings an engine that serves v1 to the load order for v2.
    void orderLoadOfSuccessor()
    {
        becomeReady();
        record.poolOfManifest = { { "v1", "assistant" }, { "v2", "assistant" } };
        observation.desired->manifest = "v2";
        runUntilIdle();
        clock.advance(claimSettleTime);
        while (next().kind != OrderKind::SendLoad)
            Commands::recordOrderExecuted(record, next(), observation);
        sendLoad();
    }

    void sendLoad()
    {
        cr_assert_eq(next().kind, OrderKind::SendLoad);
        Commands::recordLoadSent(record, *observation.engine, Queries::nextFence(record, *observation.engine, clock.wallTime()), clock.now());
    }

    bool grantsPermits() const { return !Queries::isSwitching(record) && !Queries::servedPool(record, observation.engine).pool.empty(); }

    ReplicaPhase phase() const { return record.state.phase(); }

    Base::ManualClock clock;
    ReplicaRecord record;
    Queries::Observation observation;
};

} // namespace

// Guards against chunks out of order, a load order before the last chunk, and treating a load as complete
// before the engine reports the digest.
Test(Reconcile, loadsAnEmptyEngineInOrderAndWaitsForItsStatus)
{
    ReplicaFixture replica;
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::Adopt });
    replica.fetchAll();
    std::vector expected { OrderKind::MarkFetched, OrderKind::Claim, OrderKind::BeginUpload, OrderKind::SendManifest,
        OrderKind::SendChunk, OrderKind::SendChunk, OrderKind::SendChunk, OrderKind::SendLoad };
    cr_assert(replica.runUntilIdle() == expected);
    replica.observation.engine->mode = EngineMode::Loading;
    replica.observation.engine->digest = "v1";
    replica.clock.advance(60s);
    cr_assert(replica.runUntilIdle().empty());
    cr_assert(replica.phase() == ReplicaPhase::Loading);
    replica.serve("v1");
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::Confirm });
    cr_assert(replica.phase() == ReplicaPhase::Ready);
}

// Guards against a switch that interrupts requests, and against taking old weights out of service before the new ones are
// complete.
Test(Reconcile, servesOldWeightsUntilItMaySwitchAndWaitsForRequests)
{
    ReplicaFixture replica;
    replica.becomeReady();
    replica.observation.desired->manifest = "v2";
    replica.observation.progress = { Weights::TransferStatus::Fetching, 1, chunkCount, {} };
    replica.observation.maySwitch = false;
    replica.observation.running = 1;
    replica.runUntilIdle();
    cr_assert(replica.phase() == ReplicaPhase::Fetching);
    replica.record.poolOfManifest["v1"] = "assistant";
    cr_assert(Queries::servedPool(replica.record, replica.observation.engine) == (Queries::ServedWeights { "assistant", "v1" }));
    replica.fetchAll();
    replica.runUntilIdle();
    cr_assert(replica.phase() == ReplicaPhase::Waiting);
    replica.observation.maySwitch = true;
    replica.runUntilIdle();
    cr_assert_not(Queries::isSwitching(replica.record));
    replica.clock.advance(claimSettleTime);
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::BeginUpload });
    cr_assert(Queries::isSwitching(replica.record));
    replica.observation.running = 0;
    replica.observation.engine->queued = 1;
    cr_assert(replica.runUntilIdle().empty());
    replica.observation.engine->queued = 0;
    cr_assert(replica.next().kind == OrderKind::SendManifest);
}

// Guards against a switch although another replica has claimed as well.
Test(Reconcile, withdrawsAnInvalidClaim)
{
    ReplicaFixture replica;
    replica.becomeReady();
    replica.observation.desired->manifest = "v2";
    replica.runUntilIdle();
    cr_assert(replica.phase() == ReplicaPhase::Loading);
    replica.observation.isClaimValid = false;
    replica.observation.maySwitch = false;
    replica.clock.advance(claimSettleTime);
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::Withdraw });
    cr_assert(replica.phase() == ReplicaPhase::Waiting);
}

// Guards against leaving an engine unrepaired after it restarted or reports a different digest, and against repairing one
// that is only cold.
Test(Reconcile, repairsDrift)
{
    ReplicaFixture replica;
    replica.becomeReady();
    replica.observation.engine = EngineStatus { 2 };
    cr_assert(replica.next().kind == OrderKind::Repair);
    replica.runUntilIdle();
    cr_assert(replica.record.upload.loadOrderedAt.has_value());
    replica.observation.engine->incarnation = 3;
    cr_assert(replica.next().kind == OrderKind::Repair);
    replica.runUntilIdle();
    cr_assert_eq(replica.record.upload.engineIncarnation, 3);
    replica.serve("v1");
    replica.runUntilIdle();
    replica.serve("other");
    cr_assert(replica.next().kind == OrderKind::Repair);
    replica.serve("v1");
    replica.observation.engine->mode = EngineMode::Cold;
    cr_assert(replica.runUntilIdle().empty());
}

// Guards against a load order that the engine ignores without an error.
Test(Reconcile, startsOverWhenTheEngineDoesNotLoad)
{
    ReplicaFixture replica;
    replica.fetchAll();
    replica.runUntilIdle();
    replica.clock.advance(loadAcceptanceTime);
    cr_assert(replica.next().kind == OrderKind::Repair);
    Commands::recordOrderFailed(replica.record, "refused", replica.clock.now());
    cr_assert(replica.phase() == ReplicaPhase::Failed);
    cr_assert(replica.runUntilIdle().empty());
    replica.clock.advance(retryDelay);
    cr_assert(replica.next().kind == OrderKind::Retry);
}

// Guards against requests that the engine aborts because it accepts a load order late: after an order without a response
// the agent granted permits again while the engine still reported the old weights.
Test(Reconcile, grantsNoPermitsAfterALoadOrderWithoutAResponse)
{
    ReplicaFixture replica;
    replica.orderLoadOfSuccessor();
    Commands::recordOrderFailed(replica.record, "the engine does not respond", replica.clock.now());
    cr_expect_not(replica.grantsPermits(), "after the order");
    replica.clock.advance(retryDelay);
    replica.runUntilIdle();
    cr_expect_not(replica.grantsPermits(), "after the retry");
}

// Guards against the same when the former version is wanted again.
Test(Reconcile, grantsNoPermitsWhenTheOrderedWeightsAreNoLongerWanted)
{
    ReplicaFixture replica;
    replica.orderLoadOfSuccessor();
    Commands::recordOrderFailed(replica.record, "the engine does not respond", replica.clock.now());
    replica.observation.desired->manifest = "v1";
    replica.runUntilIdle();
    cr_expect_not(replica.grantsPermits());
}

// Guards against the same after a pause of the process, which drops the order while it is sent.
Test(Reconcile, grantsNoPermitsAfterAPauseDuringALoadOrder)
{
    ReplicaFixture replica;
    replica.orderLoadOfSuccessor();
    Commands::dropOrders(replica.record);
    cr_expect_not(replica.grantsPermits());
}

// Guards against an agent that never grants permits again, or too early, because it misreads the status of the engine.
Test(Reconcile, grantsPermitsWhenTheStatusTellsTheEffectOfALoadOrder)
{
    auto orderWithoutResponse = [](ReplicaFixture& replica) {
        replica.orderLoadOfSuccessor();
        Commands::recordOrderFailed(replica.record, "the engine does not respond", replica.clock.now());
        replica.observation.desired->manifest = "v1";
        replica.runUntilIdle();
    };
    auto recordStatus = [](ReplicaFixture& replica) { Commands::recordEngineStatus(replica.record, *replica.observation.engine, replica.clock.now()); };
    ReplicaFixture arrived;
    orderWithoutResponse(arrived);
    auto fence = arrived.record.unsettledLoad->fence;
    arrived.observation.engine->checksFence = true;
    arrived.observation.engine->highestFence = fence - 1;
    arrived.clock.advance(1h);
    recordStatus(arrived);
    cr_expect_not(arrived.grantsPermits(), "the order has not arrived");
    arrived.observation.engine->highestFence = fence;
    recordStatus(arrived);
    cr_expect(arrived.grantsPermits(), "the order has arrived without effect");
    ReplicaFixture restarted;
    orderWithoutResponse(restarted);
    restarted.observation.engine->incarnation = 2;
    recordStatus(restarted);
    cr_expect(restarted.grantsPermits(), "the engine has restarted");
    // An engine that reports no fencing tokens.
    ReplicaFixture unfenced;
    orderWithoutResponse(unfenced);
    unfenced.clock.advance(29s);
    recordStatus(unfenced);
    cr_expect_not(unfenced.grantsPermits());
    unfenced.clock.advance(1s);
    recordStatus(unfenced);
    cr_expect(unfenced.grantsPermits());
    ReplicaFixture refused;
    refused.orderLoadOfSuccessor();
    Commands::recordLoadResult(refused.record, EngineError { EngineErrorKind::Unreachable, "no response", "" });
    cr_expect(refused.record.unsettledLoad.has_value());
    Commands::recordLoadResult(refused.record, EngineError { EngineErrorKind::Refused, "refused", "" });
    cr_expect_not(refused.record.unsettledLoad.has_value());
}

// Guards against a replica without permits for ever because the load order was lost, and against voiding an order whose
// effect is still wanted.
Test(Reconcile, voidsALoadOrderThatIsNoLongerWanted)
{
    ReplicaFixture replica;
    replica.observation.engine->checksFence = true;
    replica.orderLoadOfSuccessor();
    Commands::recordOrderExecuted(replica.record, replica.next(), replica.observation);
    cr_expect(replica.next().kind == OrderKind::None, "the order is under way");
    replica.observation.desired->manifest = "v1";
    std::vector expected { OrderKind::Adopt, OrderKind::Confirm, OrderKind::VoidLoad };
    cr_expect(replica.runUntilIdle() == expected);
    replica.clock.advance(retryDelay);
    cr_expect(replica.runUntilIdle() == std::vector { OrderKind::VoidLoad });
    replica.observation.engine->highestFence = replica.record.unsettledLoad->fence + 1;
    Commands::recordEngineStatus(replica.record, *replica.observation.engine, replica.clock.now());
    replica.clock.advance(retryDelay);
    cr_expect(replica.runUntilIdle().empty());
    cr_expect(replica.grantsPermits());
}

// Guards against other replicas that switch although this one grants no permits.
Test(Reconcile, reportsAnUnsettledLoadAsLoading)
{
    ReplicaFixture replica;
    replica.orderLoadOfSuccessor();
    Commands::recordOrderFailed(replica.record, "the engine does not respond", replica.clock.now());
    auto served = Queries::servedPool(replica.record, replica.observation.engine);
    auto reported = Queries::reportedReplicas(replica.record, served, replica.observation.progress, {});
    cr_expect_eq(reported.front().servingDigest, "v1");
    cr_expect(reported.front().phase == ReplicaPhase::Loading);
}

// Guards against a transfer that continues after its version was withdrawn or replaced.
Test(Reconcile, followsTheDocumentImmediately)
{
    ReplicaFixture replica;
    replica.runUntilIdle();
    replica.observation.desired->manifest = "v2";
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::Adopt });
    cr_assert(replica.record.wanted.manifest == "v2");
    replica.observation.desired.reset();
    cr_assert(replica.runUntilIdle().empty());
    replica.observation.mayRelease = true;
    cr_assert(replica.runUntilIdle() == std::vector { OrderKind::Release });
    cr_assert(replica.phase() == ReplicaPhase::Idle);
}

// Guards against sending orders after a pause of the process that were decided before it.
Test(Reconcile, pauseDiscardsOrdersInProgress)
{
    ReplicaFixture replica;
    replica.fetchAll();
    replica.runUntilIdle();
    cr_assert(replica.phase() == ReplicaPhase::Loading);
    Commands::dropOrders(replica.record);
    cr_assert(replica.phase() == ReplicaPhase::Fetching);
    cr_assert_not(replica.record.upload.hasStarted);
}

// Guards against moves caused by the incomplete member list at start-up, and against delaying new versions.
Test(Reconcile, waitsUntilTheAssignmentIsSettled)
{
    ReplicaFixture replica;
    DesiredReplica first { "a", "a-v1" };
    DesiredReplica second { "b", "b-v1" };
    auto settle = [&](const std::optional<DesiredReplica>& desired) { return Commands::debounceAssignment(replica.record, desired, replica.clock.now()); };
    cr_assert_not(settle(first).has_value());
    replica.clock.advance(1900ms);
    cr_assert_not(settle(second).has_value());
    replica.clock.advance(1900ms);
    cr_assert_not(settle(second).has_value());
    replica.clock.advance(100ms);
    cr_assert(settle(second) == second);
    DesiredReplica newer { "b", "b-v2" };
    cr_assert(settle(newer) == newer);
}

// Guards against orders that the engine refuses as stale after the agent restarted or its clock was set back.
Test(Reconcile, fencingTokensAlwaysGrow)
{
    ReplicaRecord record;
    EngineStatus engine;
    Base::WallTime now(1000s);
    cr_assert_eq(Queries::nextFence(record, engine, now), 1000000000);
    engine.highestFence = 2000000000;
    cr_assert_eq(Queries::nextFence(record, engine, now), 2000000001);
    record.lastFence = 2000000001;
    cr_assert_eq(Queries::nextFence(record, engine, now), 2000000002);
}

// Guards against serving weights for a pool that they do not belong to.
Test(Reconcile, servesOnlyWeightsOfAKnownPool)
{
    ReplicaRecord record;
    EngineStatus engine { 1, EngineMode::Ready, "unknown" };
    cr_assert(Queries::servedPool(record, engine).pool.empty());
    DesiredState::Document document;
    document.pools.push_back(makePool("assistant", 1));
    Commands::recordDocument(record, document);
    record.state.apply(ReplicaEvent::Wanted);
    engine.digest = "assistant-v1";
    cr_assert(Queries::servedPool(record, engine).pool == "assistant");
    engine.mode = EngineMode::Loading;
    cr_assert(Queries::servedPool(record, engine).pool.empty());
    cr_assert(Queries::servedPool(record, std::nullopt).pool.empty());
    engine.mode = EngineMode::Ready;
    record.state.apply(ReplicaEvent::Released);
    cr_assert(Queries::servedPool(record, engine).pool.empty());
}

// Guards against a VM that releases its weights because its data centre is temporarily out.
Test(Reconcile, keepsWeightsWhileTheDataCentreIsOut)
{
    ReplicaFixture replica;
    replica.observation.desired = DesiredReplica { "assistant", "assistant-v1" };
    replica.runUntilIdle();
    Fleet fleet(1);
    fleet.document.pools = { makePool("assistant", 3) };
    fleet.document.dataCentres.front().state = DesiredState::DataCentreState::Out;
    auto assignment = Queries::assignedPools(fleet.document, fleet.members);
    Queries::PlacementView view { fleet.document, fleet.members, assignment };
    auto kept = Queries::desiredReplica(view, fleet.members.front().vm, replica.record);
    cr_assert(kept == replica.observation.desired);
    cr_assert_not(Queries::desiredReplica(view, fleet.members.front().vm, ReplicaRecord {}).has_value());
}
