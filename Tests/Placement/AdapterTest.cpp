#include "Placement/Commands/ApplyAdapterOrder.h"
#include "Placement/Commands/ApplyOrder.h"
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
        seen.engine = EngineStatus { 1, EngineMode::Ready, "v1" };
    }

    void declare(const std::string& digest, Weights::TransferStatus status = Weights::TransferStatus::Complete)
    {
        seen.declared.push_back({ digest, { status, status == Weights::TransferStatus::Complete ? chunkCount : 0, chunkCount, {} } });
    }

    Queries::AdapterOrder next()
    {
        seen.now = clock.now();
        return Queries::nextAdapterOrder(record, seen);
    }

    // Executes orders until there are none left, and returns their kinds.
    std::vector<AdapterOrderKind> settle()
    {
        std::vector<AdapterOrderKind> kinds;
        for (auto order = next(); order.kind != AdapterOrderKind::None && kinds.size() < 50; order = next()) {
            kinds.push_back(order.kind);
            Commands::noteAdapterDone(record, order, seen);
            if (!isDeaf && order.kind == AdapterOrderKind::SendLoad)
                seen.engine->adapters.insert(order.digest);
            if (!isDeaf && order.kind == AdapterOrderKind::SendUnload)
                seen.engine->adapters.erase(order.digest);
        }
        return kinds;
    }

    Base::ManualClock clock;
    ReplicaRecord record;
    Queries::AdapterObservation seen;
    // The engine accepts load and unload orders but does not execute them.
    bool isDeaf = false;
};

const std::vector loadOrders { AdapterOrderKind::SendManifest, AdapterOrderKind::SendChunk, AdapterOrderKind::SendChunk, AdapterOrderKind::SendLoad, AdapterOrderKind::Confirm };

} // namespace

// Guards against loading an adapter before all its chunks are verified, and against interleaving the chunks of two adapters.
Test(Adapter, isLoadedWhenItIsComplete)
{
    AdapterFixture replica;
    replica.declare("a1", Weights::TransferStatus::Fetching);
    cr_assert(replica.settle().empty());
    replica.declare("a2");
    cr_assert(replica.settle() == loadOrders);
    cr_assert(replica.seen.engine->adapters == std::set<std::string> { "a2" });
    replica.seen.declared[0].progress = { Weights::TransferStatus::Complete, chunkCount, chunkCount, {} };
    cr_assert(replica.settle() == loadOrders);
    cr_assert(replica.seen.engine->adapters == (std::set<std::string> { "a1", "a2" }));
}

// Guards against an adapter that is not reloaded after an engine restart, and against adapter orders while the base
// model is being loaded, which would interleave their chunks.
Test(Adapter, isLoadedAgainAfterTheBaseModel)
{
    AdapterFixture replica;
    replica.declare("a1");
    replica.settle();
    replica.seen.engine = EngineStatus { 2 };
    cr_assert(replica.settle().empty());
    replica.record.state.apply(ReplicaEvent::Drifted);
    replica.seen.engine = EngineStatus { 2, EngineMode::Ready, "v1" };
    cr_assert(replica.settle().empty());
    replica.record.state.apply(ReplicaEvent::Confirmed);
    cr_assert(replica.settle() == loadOrders);
    replica.seen.engine->adapters.clear();
    Commands::noteAdapterDone(replica.record, replica.next(), replica.seen);
    replica.seen.engine->incarnation = 3;
    cr_assert(replica.next().kind == AdapterOrderKind::Abandon, "the engine lost the chunks sent");
    replica.settle();
    cr_assert(replica.seen.engine->adapters.contains("a1"));
}

// Guards against unloading an adapter that a request uses, and against keeping one that is not declared.
Test(Adapter, isUnloadedWhenItsRequestsHaveEnded)
{
    AdapterFixture replica;
    replica.seen.engine->adapters = { "a1" };
    replica.seen.inUse = { "a1" };
    cr_assert(Queries::hasSurplusAdapter(*replica.seen.engine, replica.seen.declared));
    cr_assert(replica.settle().empty());
    replica.seen.inUse.clear();
    cr_assert(replica.settle() == (std::vector { AdapterOrderKind::SendUnload, AdapterOrderKind::Confirm }));
}

// Guards against treating an order as executed before the engine's status shows it, and against retries without delay.
Test(Adapter, isTriedAgainLaterWhenTheEngineDoesNotObey)
{
    AdapterFixture replica;
    replica.declare("a1");
    replica.isDeaf = true;
    cr_assert(replica.settle().back() == AdapterOrderKind::SendLoad);
    replica.clock.advance(loadAcceptanceTime);
    cr_assert(replica.settle() == std::vector { AdapterOrderKind::Fail });
    cr_assert(replica.record.state.phase() == Membership::ReplicaPhase::Ready);
    cr_assert_not(replica.record.adapters.reason.empty());
    replica.isDeaf = false;
    replica.clock.advance(retryDelay);
    cr_assert(replica.settle() == loadOrders);
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
    Commands::learnDocument(replica.record, document);
    replica.seen.engine->adapters = { "a0", "a1" };
    auto served = Queries::servedPool(replica.record, replica.seen.engine);
    cr_assert(served.adapters == std::vector<std::string> { "a1" });
    cr_assert(Queries::reportedReplicas(replica.record, served, {}, {}).at(0).adapters == served.adapters);
    Weights::TransferProgress late { Weights::TransferStatus::Failed, 0, chunkCount, "no room" };
    cr_assert(Queries::reportedReplicas(replica.record, served, {}, { { "a2", late } }).at(0).reason == "adapter a2: no room");
}
