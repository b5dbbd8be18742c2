#include "Placement/Commands/RecordAdapterOrder.h"
#include "Placement/Commands/RecordOrder.h"
#include "Placement/Queries/ServedPool.h"

#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Placement;
using namespace std::chrono_literals;
using Queries::AdapterOrderKind;

namespace {

constexpr unsigned chunkCount = 2;

// A replica that serves base model "v1", with an engine that executes adapter orders.
struct AdapterFixture {
    AdapterFixture()
    {
        record.wanted = { "assistant", "v1" };
        for (auto event : { ReplicaEvent::Wanted, ReplicaEvent::Confirmed })
            record.state.apply(event);
        cr_assert(record.state.phase() == Membership::ReplicaPhase::Ready);
        observation.engine = EngineStatus { 1, EngineMode::Ready, "v1" };
    }

    void declare(const std::string& digest, Weights::TransferStatus status = Weights::TransferStatus::Complete)
    {
        observation.declared.push_back({ digest, { status, status == Weights::TransferStatus::Complete ? chunkCount : 0, chunkCount, {} } });
    }

    Queries::AdapterOrder next()
    {
        observation.now = clock.now();
        return Queries::nextAdapterOrder(record, observation);
    }

    // Executes orders until there are none left, and returns their kinds.
    std::vector<AdapterOrderKind> runUntilIdle()
    {
        std::vector<AdapterOrderKind> kinds;
        for (auto order = next(); order.kind != AdapterOrderKind::None && kinds.size() < 50; order = next()) {
            kinds.push_back(order.kind);
            Commands::recordAdapterOrderExecuted(record, order, observation);
            if (!ignoresOrders && order.kind == AdapterOrderKind::SendLoad)
                observation.engine->adapters.insert(order.digest);
            if (!ignoresOrders && order.kind == AdapterOrderKind::SendUnload)
                observation.engine->adapters.erase(order.digest);
        }
        return kinds;
    }

    Base::ManualClock clock;
    ReplicaRecord record;
    Queries::AdapterObservation observation;
    // The engine accepts load and unload orders but does not execute them.
    bool ignoresOrders = false;
};

const std::vector loadOrders { AdapterOrderKind::SendManifest, AdapterOrderKind::SendChunk, AdapterOrderKind::SendChunk, AdapterOrderKind::SendLoad, AdapterOrderKind::Confirm };

} // namespace

// Guards against loading an adapter before all its chunks are verified, and against interleaving the chunks of two adapters.
Test(Adapter, isLoadedWhenItIsComplete)
{
    AdapterFixture replica;
    replica.declare("a1", Weights::TransferStatus::Fetching);
    cr_assert(replica.runUntilIdle().empty());
    replica.declare("a2");
    cr_assert(replica.runUntilIdle() == loadOrders);
    cr_assert(replica.observation.engine->adapters == std::set<std::string> { "a2" });
    replica.observation.declared[0].progress = { Weights::TransferStatus::Complete, chunkCount, chunkCount, {} };
    cr_assert(replica.runUntilIdle() == loadOrders);
    cr_assert(replica.observation.engine->adapters == (std::set<std::string> { "a1", "a2" }));
}

// Guards against an adapter that is not reloaded after an engine restart, and against adapter orders while the base
// model is being loaded, which would interleave their chunks.
Test(Adapter, isLoadedAgainAfterTheBaseModel)
{
    AdapterFixture replica;
    replica.declare("a1");
    replica.runUntilIdle();
    replica.observation.engine = EngineStatus { 2 };
    cr_assert(replica.runUntilIdle().empty());
    replica.record.state.apply(ReplicaEvent::Drifted);
    replica.observation.engine = EngineStatus { 2, EngineMode::Ready, "v1" };
    cr_assert(replica.runUntilIdle().empty());
    replica.record.state.apply(ReplicaEvent::Confirmed);
    cr_assert(replica.runUntilIdle() == loadOrders);
    replica.observation.engine->adapters.clear();
    Commands::recordAdapterOrderExecuted(replica.record, replica.next(), replica.observation);
    replica.observation.engine->incarnation = 3;
    cr_assert(replica.next().kind == AdapterOrderKind::Abandon, "the engine lost the chunks sent");
    replica.runUntilIdle();
    cr_assert(replica.observation.engine->adapters.contains("a1"));
}

// Guards against unloading an adapter that a request uses, and against keeping one that is not declared.
Test(Adapter, isUnloadedWhenItsRequestsHaveEnded)
{
    AdapterFixture replica;
    replica.observation.engine->adapters = { "a1" };
    replica.observation.inUse = { "a1" };
    cr_assert(Queries::hasSurplusAdapter(*replica.observation.engine, replica.observation.declared));
    cr_assert(replica.runUntilIdle().empty());
    replica.observation.inUse.clear();
    cr_assert(replica.runUntilIdle() == (std::vector { AdapterOrderKind::SendUnload, AdapterOrderKind::Confirm }));
}

// Guards against treating an order as executed before the engine's status shows it, and against retries without delay.
Test(Adapter, isRetriedWhenTheEngineIgnoresOrders)
{
    AdapterFixture replica;
    replica.declare("a1");
    replica.ignoresOrders = true;
    cr_assert(replica.runUntilIdle().back() == AdapterOrderKind::SendLoad);
    replica.clock.advance(loadAcceptanceTime);
    cr_assert(replica.runUntilIdle() == std::vector { AdapterOrderKind::Fail });
    cr_assert(replica.record.state.phase() == Membership::ReplicaPhase::Ready);
    cr_assert_not(replica.record.adapters.reason.empty());
    replica.ignoresOrders = false;
    replica.clock.advance(retryDelay);
    cr_assert(replica.runUntilIdle() == loadOrders);
    cr_assert(replica.record.adapters.reason.empty());
}

// Guards against a delayed adapter without a reason, and against reporting an adapter that the document does not declare or
// the engine does not list.
Test(Adapter, isReportedWhenEngineAndDocumentListIt)
{
    AdapterFixture replica;
    DesiredState::Document document;
    document.pools.resize(1);
    document.pools[0].name = "assistant";
    document.pools[0].manifest = "v1";
    document.pools[0].adapters = { "a2", "a1" };
    Commands::recordDocument(replica.record, document);
    replica.observation.engine->adapters = { "a0", "a1" };
    auto served = Queries::servedPool(replica.record, replica.observation.engine);
    cr_assert(served.adapters == std::vector<std::string> { "a1" });
    cr_assert(Queries::reportedReplicas(replica.record, served, {}, {}).at(0).adapters == served.adapters);
    Weights::TransferProgress late { Weights::TransferStatus::Failed, 0, chunkCount, "no room" };
    cr_assert(Queries::reportedReplicas(replica.record, served, {}, { { "a2", late } }).at(0).reason == "adapter a2: no room");
}
