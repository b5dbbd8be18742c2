#include "Bench/ChildProcess.h"
#include "Bench/RolloutBounds.h"
#include "Bench/RolloutFleet.h"
#include "Weights/SimulatedRollout.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Bench;
using namespace std::chrono_literals;

namespace {

// Time-out of a test that hangs; no assertion depends on its value.
constexpr auto hangTimeout = 120s;

// A fleet in one or more regions and two versions of a model, small enough for a loaded machine.
struct Rollout {
    explicit Rollout(FleetShape shape, size_t chunkCount = 24)
        : fleet(shape)
        , model(makeModel({ "1", chunkCount, 4096, shape.seed, 2 }))
        , successor(makeModel({ "2", chunkCount, 4096, shape.seed, 2 }))
    {
        fleet.addModel(model);
        fleet.addModel(successor);
    }

    // Waits until the transfer completes; returns whether every live replica holds exactly the expected bytes.
    bool completesCorrectly(const Model& wanted)
    {
        if (!fleet.waitUntilComplete(wanted.digest, hangTimeout))
            return false;
        for (unsigned i = 0; i < fleet.size(); ++i) {
            if (fleet.isAlive(i) && !fleet.holdsExactly(i, wanted))
                return false;
        }
        return true;
    }

    bool awaitChunks(unsigned replica, unsigned count)
    {
        return fleet.waitUntil([&] { return fleet.node(replica).progress(model.digest).chunksHeld >= count; }, hangTimeout);
    }

    uint64_t sum(std::atomic<uint64_t> Weights::WeightCounters::*counter)
    {
        uint64_t total = 0;
        for (unsigned i = 0; i < fleet.size(); ++i)
            total += fleet.node(i).counters().*counter;
        return total;
    }

    RolloutFleet fleet;
    Model model;
    Model successor;
};

// Link rates at which the transfer takes a few seconds, so that a fault occurs during it.
LinkRates slowLinkRates()
{
    return { 60000, 30000, 60000 };
}

RolloutOptions smallRollout()
{
    RolloutOptions options;
    options.replicas = 6;
    options.chunkCount = 60;
    options.floor = 3000ms;
    return options;
}

// The first bound of traffic and correctness that is exceeded; empty if none is.
std::string exceededCounts(const RolloutOptions& options, const RolloutMeasurement& measurement)
{
    auto bounds = readRolloutBounds(LAVENDERLOFT_SOURCE_DIR "/Utilities/Bench/bounds.json");
    cr_assert(Base::succeeded(bounds));
    auto exceeded = findExceededBounds(Base::valueOf(bounds), options, measurement, BoundsScope::Counts);
    return exceeded.empty() ? std::string() : exceeded.front();
}

} // namespace

// Guards against replicas that do not complete in every region, and against wrong bytes.
Test(Rollout, distributesAModelToAllReplicasOfThreeRegions)
{
    Rollout rollout({ .replicas = 6, .regions = 3 });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
}

// Guards against corrupt chunks that are stored, served or forwarded.
Test(Rollout, completesDespiteASenderOfCorruptChunks)
{
    Rollout rollout({ .replicas = 4 });
    rollout.fleet.faults().corruptChunksFrom(rollout.fleet.vm(0));
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
    cr_assert_gt(rollout.sum(&Weights::WeightCounters::corruptChunks), 0);
}

// Guards against storing corrupt chunks from the weight store.
Test(Rollout, refetchesAChunkThatTheOriginCorrupted)
{
    Rollout rollout({ .replicas = 2 });
    rollout.fleet.store().corruptNextChunks(2);
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
    cr_assert_eq(rollout.sum(&Weights::WeightCounters::corruptChunks), 2);
}

// Guards against a peer that reports chunks it does not hold and thereby blocks them for all others.
Test(Rollout, completesDespiteFalseHoldings)
{
    Rollout rollout({ .replicas = 4, .rates = slowLinkRates() });
    rollout.fleet.faults().claimAllChunksHeldBy(rollout.fleet.vm(0));
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
}

// Guards against a transfer that waits indefinitely for a stalled sender.
Test(Rollout, completesDespiteAStalledSender)
{
    Rollout rollout({ .replicas = 4 });
    rollout.fleet.faults().stallChunksFrom(rollout.fleet.vm(0));
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
    cr_assert_gt(rollout.sum(&Weights::WeightCounters::stalledDownloads), 0);
}

// Guards against downloads over slow links that are cancelled although no other agent holds the chunk: what had arrived was
// dropped, the only sender was not asked for 10 s, and the chunk was read from the origin again.
Test(Rollout, awaitsTheOnlySenderOnASlowLink)
{
    Rollout rollout({ .replicas = 2, .rates = { 60000, 2500, 60000 } }, 8);
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
    cr_assert_eq(rollout.sum(&Weights::WeightCounters::stalledDownloads), 0);
}

// Guards against a region that never gets a manifest because its transfer over a slow link takes longer than a fixed
// timeout: each request was given up before its end, and the next one began anew.
Test(Rollout, completesWhenManifestsArriveSlowly)
{
    Rollout rollout({ .replicas = 4, .regions = 2 });
    rollout.fleet.faults().setManifestTransferTime(3s);
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.fleet.waitUntilComplete(rollout.model.digest, 30s));
    cr_assert(rollout.completesCorrectly(rollout.model));
}

// Guards against chunks that are never fetched because their owner has died.
Test(Rollout, completesWhenAChunkOwnerDies)
{
    Rollout rollout({ .replicas = 4, .regions = 2, .rates = slowLinkRates() });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.awaitChunks(0, 2));
    rollout.fleet.kill(0);
    cr_assert(rollout.completesCorrectly(rollout.model));
}

// Guards against a replaced version that continues to transfer or keeps its memory.
Test(Rollout, changesTheVersionDuringATransfer)
{
    Rollout rollout({ .replicas = 3, .rates = slowLinkRates() });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.awaitChunks(0, 6));
    rollout.fleet.setWanted(std::vector { rollout.successor.digest });
    cr_assert(rollout.completesCorrectly(rollout.successor));
    for (unsigned i = 0; i < rollout.fleet.size(); ++i) {
        cr_assert(rollout.fleet.node(i).progress(rollout.model.digest).status == Weights::TransferStatus::Unknown);
        cr_assert_eq(rollout.fleet.node(i).heldBytes(), rollout.successor.totalBytes);
    }
}

// Guards against refetching chunks that a held version shares with the next one.
Test(Rollout, fetchesOnlyWhatDiffersFromTheHeldVersion)
{
    Rollout rollout({ .replicas = 1 });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.completesCorrectly(rollout.model));
    rollout.fleet.setWanted(std::vector { rollout.successor.digest });
    cr_assert(rollout.completesCorrectly(rollout.successor));
    cr_assert_eq(rollout.sum(&Weights::WeightCounters::originBytes), rollout.model.totalBytes + rollout.model.totalBytes / 2);
}

// Guards against a transfer that exceeds the memory budget, and a reason that does not name the setting.
Test(Rollout, reportsAModelBeyondTheMemoryBudget)
{
    Rollout rollout({ .replicas = 1, .weightMemoryBytes = 5000 });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.fleet.waitUntil([&] { return rollout.fleet.node(0).progress(rollout.model.digest).status == Weights::TransferStatus::Failed; }, hangTimeout));
    cr_assert(rollout.fleet.node(0).progress(rollout.model.digest).reason.find("weightMemoryBytes") != std::string::npos);
    cr_assert_eq(rollout.fleet.node(0).heldBytes(), 0);
}

// Guards against a partitioned region that does not complete although its agents together hold all chunks.
Test(Rollout, completesInAPartitionFromWhatItsAgentsHold)
{
    Rollout rollout({ .replicas = 4, .regions = 2 });
    std::vector<Weights::WantedManifest> wanted { { rollout.model.digest } };
    rollout.fleet.setWantedAt(0, wanted);
    rollout.fleet.setWantedAt(1, wanted);
    cr_assert(rollout.awaitChunks(1, 24));
    rollout.fleet.faults().partitionRegion(rollout.fleet.region(1));
    rollout.fleet.store().setPartitionedRegions({ rollout.fleet.region(1) });
    rollout.fleet.setWantedAt(3, wanted);
    cr_assert(rollout.awaitChunks(3, 24));
    cr_assert(rollout.fleet.holdsExactly(3, rollout.model));
}

// Guards against an unreported wait for chunks that no agent in a partition holds, and a transfer that does not resume
// when the partition heals.
Test(Rollout, reportsTheMissingChunksOfAPartition)
{
    Rollout rollout({ .replicas = 4, .regions = 2, .rates = slowLinkRates() });
    rollout.fleet.setWanted(std::vector { rollout.model.digest });
    cr_assert(rollout.awaitChunks(1, 1));
    rollout.fleet.faults().partitionRegion(rollout.fleet.region(1));
    rollout.fleet.store().setPartitionedRegions({ rollout.fleet.region(1) });
    cr_assert(rollout.fleet.waitUntil([&] { return rollout.fleet.node(1).progress(rollout.model.digest).reason.find("of 24 chunks are held by no agent") != std::string::npos; }, hangTimeout));
    rollout.fleet.faults().healPartition();
    rollout.fleet.store().setPartitionedRegions({});
    cr_assert(rollout.completesCorrectly(rollout.model));
}

// Guards against regressions of the traffic from the origin and over the inter-region links. On a simulated clock: on a
// loaded machine an owner that responds late rightly loses its chunks to others, which are then fetched twice.
Test(Rollout, staysWithinTheCountingBounds)
{
    for (auto messageDelay : { 1ms, 20ms, 100ms }) {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            auto options = smallRollout();
            options.seed = seed;
            auto exceeded = exceededCounts(options, simulateRollout(options, { .messageDelay = messageDelay }));
            cr_expect(exceeded.empty(), "seed %lu, %lld ms: %s", seed, static_cast<long long>(messageDelay.count()), exceeded.c_str());
        }
    }
}

// Guards against the same when a region is cut off for half of the floor.
Test(Rollout, staysWithinTheCountingBoundsInAPartition)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        RolloutOptions options;
        options.replicas = 9;
        options.floor = 4000ms;
        options.seed = seed;
        options.fault = RolloutFault::Partition;
        auto exceeded = exceededCounts(options, simulateRollout(options));
        cr_expect(exceeded.empty(), "seed %lu: %s", seed, exceeded.c_str());
    }
}

// Guards against a simulation that no lateness can push over the bounds, and one that depends on the machine.
Test(Rollout, simulatesWhatLatenessCosts)
{
    auto options = smallRollout();
    cr_expect_not(exceededCounts(options, simulateRollout(options, { .messageDelay = 600ms })).empty());
    cr_expect_not(exceededCounts(options, simulateRollout(options, { .roundDelay = 2000ms })).empty());
    auto first = simulateRollout(options);
    auto second = simulateRollout(options);
    cr_expect_eq(first.timeInFloors, second.timeInFloors);
    cr_expect_eq(first.interRegionCopies, second.interRegionCopies);
}

// Guards against replicas in several regions that do not complete over real connections, or hold wrong bytes.
Test(Rollout, completesOverRealConnections)
{
    auto measurement = measureRollout(smallRollout());
    cr_log_info("copies from the origin %.3f, into a region %.3f", measurement.originCopies, measurement.interRegionCopies);
    cr_assert(measurement.complete);
    cr_assert_eq(measurement.wrongReplicas, 0);
}

// Guards against replicas that do not know those of the other processes and read all chunks from the origin. With one
// replica in a process, all holdings requests go to other processes.
Test(Rollout, asksTheReplicasOfOtherProcesses)
{
    RolloutOptions options;
    options.replicas = 3;
    options.replicasPerProcess = 1;
    options.chunkCount = 60;
    options.floor = 3000ms;
    auto measurement = measureRollout(options);
    cr_assert(measurement.complete);
    cr_assert_eq(measurement.wrongReplicas, 0);
    cr_assert_gt(measurement.holdingsRequestsPerSecond, 0);
    cr_assert_lt(measurement.originCopies, 3, "each replica read all chunks from the origin");
}

// Guards against processes that each have the full capacity of a link, and against bytes that are not counted because
// another process sent them.
Test(Rollout, sharesLinksBetweenProcesses)
{
    constexpr uint64_t bytesPerSecond = 1000;
    RolloutLinks links({ bytesPerSecond, bytesPerSecond, bytesPerSecond }, "a", { { "vm-1", "a" }, { "vm-2", "b" } });
    Base::TimePoint now { 1h };
    ChildProcess child([&](ParentLink& parent) {
        links.reserveFromOrigin("vm-2", bytesPerSecond, now);
        parent.writeLine("reserved");
        parent.readLine();
    });
    child.readLine();
    cr_assert_eq(links.originBytes(), bytesPerSecond);
    cr_assert_eq(links.bytesInto("b"), bytesPerSecond);
    cr_assert_geq(links.reserveFromOrigin("vm-1", bytesPerSecond, now), 1900ms, "the origin's link carries both");
    cr_assert_geq(links.reserveBetweenVms("vm-1", "vm-2", bytesPerSecond, now), 1900ms, "the link into the region carries both");
}

// Guards against measuring the limits of the benchmark process instead of a large fleet, and against results of small
// fleets that cannot be compared with earlier ones.
Test(Rollout, scalesTheBenchmarkOnlyBeyondOneProcess)
{
    RolloutOptions options;
    options.replicas = maximumReplicasAtDefaultChunkSize;
    cr_assert_eq(scaleChunkSize(options).chunkBytes, options.chunkBytes);
    options.replicas = 2 * maximumReplicasAtDefaultChunkSize;
    auto scaled = scaleChunkSize(options);
    cr_assert_lt(scaled.chunkBytes, options.chunkBytes);
    cr_assert(scaled.floor == options.floor);
}
