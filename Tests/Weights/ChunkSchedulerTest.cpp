#include "Weights/Queries/ChunkScheduler.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Bench/RolloutModel.h"
#include "Weights/Commands/PeerCommands.h"
#include "Weights/Queries/Neighbours.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;
using namespace std::chrono_literals;

namespace {

Manifest manifestOf(size_t chunkCount)
{
    return Base::takeValue(parseManifest(Bench::makeModel({ "1", chunkCount, 16, 1, 1 }).document));
}

// The scheduling input of one agent in a fleet.
struct SchedulerFixture {
    SchedulerFixture(std::vector<Participant> all, size_t selfIndex, size_t chunkCount)
        : participants(std::move(all))
        , self(participants[selfIndex])
        , manifest(manifestOf(chunkCount))
        , ownership(Queries::assignOwnership(manifest, participants, self.region, "store"))
        , held(chunkCount, false)
    {
        for (auto& peer : participants) {
            if (peer.vm != self.vm)
                sources.push_back(peer);
        }
    }

    template <typename Function>
    auto withInput(Function&& function)
    {
        auto peers = Queries::viewPeers(table, sources, manifest.digest, clock.now());
        Queries::ScheduleInput input { manifest, held, inFlight, {}, ownership, peers, self, true, originUsable, clock.now() };
        return function(input);
    }

    std::vector<Queries::ChunkAssignment> schedule()
    {
        return withInput([&](auto& input) { return Queries::scheduleChunks(input, random); });
    }

    void receiveHoldings(const std::string& vm, ChunkBitmap bitmap, std::vector<unsigned> assigned = {})
    {
        Commands::recordHoldingsRequested(table, vm, manifest.digest, clock.now());
        Commands::recordHoldings(table, vm, manifest.digest, { true, std::move(bitmap), std::move(assigned), uploadSlots }, clock.now());
    }

    // The chunks that the agent owns.
    std::vector<unsigned> ownedChunks() const
    {
        std::vector<unsigned> chunks;
        for (unsigned i = 0; i < ownership.chunks.size(); ++i) {
            if (ownership.chunks[i].ranked.front() == self.vm)
                chunks.push_back(i);
        }
        return chunks;
    }

    ChunkBitmap noChunks() const { return ChunkBitmap(manifest.chunks.size(), false); }
    ChunkBitmap allChunks() const { return ChunkBitmap(manifest.chunks.size(), true); }

    Base::ManualClock clock;
    Base::SeededRandom random { 7 };
    std::vector<Participant> participants;
    std::vector<Participant> sources;
    Participant self;
    Manifest manifest;
    Queries::ManifestOwnership ownership;
    ChunkBitmap held;
    std::unordered_set<std::string> inFlight;
    PeerTable table;
    bool originUsable = true;
};

std::vector<Participant> storeRegionOf(size_t count)
{
    std::vector<Participant> participants;
    for (size_t i = 0; i < count; ++i)
        participants.push_back({ "vm-" + std::to_string(i), "", "dc-" + std::to_string(i % 2), "store" });
    return participants;
}

std::vector<Participant> twoRegions()
{
    return { { "a0", "", "a", "store" }, { "a1", "", "a", "store" }, { "b0", "", "b", "remote" }, { "b1", "", "b", "remote" } };
}

bool allFrom(const std::vector<Queries::ChunkAssignment>& assignments, SourceKind source)
{
    return std::all_of(assignments.begin(), assignments.end(), [&](auto& assignment) { return assignment.source == source; });
}

} // namespace

// Guards against several agents of the store's region fetching the same chunk from the origin.
Test(ChunkScheduler, onlyTheOwnerReadsFromTheOrigin)
{
    std::vector<unsigned> readers(20, 0);
    for (size_t agent = 0; agent < 4; ++agent) {
        SchedulerFixture fixture(storeRegionOf(4), agent, 20);
        for (auto chunk : fixture.ownedChunks())
            ++readers[chunk];
        for (auto& assignment : fixture.schedule()) {
            cr_assert(assignment.source == SourceKind::Origin);
            cr_assert(fixture.ownership.chunks[assignment.chunk].ranked.front() == fixture.self.vm);
        }
    }
    for (auto count : readers)
        cr_assert_eq(count, 1);
}

// Guards against a take-over that happens too early, which doubles origin reads, or not at all.
Test(ChunkScheduler, takesOverAfterTheDeadlineWithoutProgress)
{
    SchedulerFixture fixture(storeRegionOf(2), 0, 20);
    auto other = fixture.sources[0].vm;
    for (auto chunk : fixture.ownedChunks())
        fixture.held[chunk] = true;
    fixture.receiveHoldings(other, fixture.noChunks());
    fixture.clock.advance(takeOverDeadline - 1ms);
    cr_assert(fixture.schedule().empty());
    fixture.clock.advance(1ms);
    auto assignments = fixture.schedule();
    cr_assert_not(assignments.empty());
    for (auto& assignment : assignments)
        cr_assert(assignment.reason == Queries::AssignmentReason::TakenOver);
}

// Guards against a take-over from an owner that has no free upload slot, is fetching the chunk or makes progress.
Test(ChunkScheduler, leavesChunksToAnOwnerThatMakesProgress)
{
    SchedulerFixture fixture(storeRegionOf(2), 0, 20);
    auto other = fixture.sources[0].vm;
    for (auto chunk : fixture.ownedChunks())
        fixture.held[chunk] = true;
    fixture.receiveHoldings(other, fixture.noChunks());
    Commands::pausePeer(fixture.table, other, fixture.clock.now() + 10s);
    cr_assert(fixture.schedule().empty());
    std::vector<unsigned> every(20);
    for (unsigned i = 0; i < every.size(); ++i)
        every[i] = i;
    fixture.receiveHoldings(other, fixture.noChunks(), every);
    fixture.clock.advance(takeOverDeadline + 1ms);
    cr_assert(fixture.schedule().empty());
    fixture.clock.advance(assignedTakeOverDeadline);
    cr_assert_not(fixture.schedule().empty());
}

// Guards against a restarted agent that fetches from the origin what its peers hold.
Test(ChunkScheduler, prefersPeersToTheOriginForOwnedChunks)
{
    SchedulerFixture fixture(storeRegionOf(3), 0, 20);
    fixture.receiveHoldings("vm-1", fixture.allChunks());
    auto assignments = fixture.schedule();
    cr_assert_eq(assignments.size(), maximumDownloadsPerPeer);
    cr_assert(allFrom(assignments, SourceKind::Peer));
}

// Guards against common chunks being fetched first while a rare one may be lost.
Test(ChunkScheduler, fetchesTheRarestChunkFirst)
{
    SchedulerFixture fixture(storeRegionOf(4), 0, 20);
    auto common = fixture.allChunks();
    common[13] = false;
    fixture.receiveHoldings("vm-1", common);
    fixture.receiveHoldings("vm-2", common);
    fixture.receiveHoldings("vm-3", fixture.allChunks());
    auto assignments = fixture.schedule();
    cr_assert_eq(assignments.front().chunk, 13);
    cr_assert(assignments.front().vm == "vm-3");
    // The same seed produces the same assignments.
    SchedulerFixture repeatedFixture(storeRegionOf(4), 0, 20);
    repeatedFixture.receiveHoldings("vm-1", common);
    repeatedFixture.receiveHoldings("vm-2", common);
    repeatedFixture.receiveHoldings("vm-3", repeatedFixture.allChunks());
    auto repeated = repeatedFixture.schedule();
    cr_assert(std::equal(assignments.begin(), assignments.end(), repeated.begin(), repeated.end(), [](auto& left, auto& right) { return left.chunk == right.chunk && left.vm == right.vm; }));
}

// Guards against traffic between data centres while a peer in the own data centre holds the chunk.
Test(ChunkScheduler, prefersTheOwnDataCentre)
{
    SchedulerFixture fixture(storeRegionOf(4), 0, 20);
    for (auto& peer : fixture.sources)
        fixture.receiveHoldings(peer.vm, fixture.allChunks());
    auto assignments = fixture.schedule();
    cr_assert(assignments[0].vm == "vm-2");
    cr_assert_eq(assignments.size(), maximumDownloads);
}

// Guards against a peer that sent corrupt bytes or stalled being asked again too early, and against a later, shorter
// backoff that ends the longer one.
Test(ChunkScheduler, backsOffFromAFaultySender)
{
    SchedulerFixture fixture(storeRegionOf(2), 0, 20);
    fixture.originUsable = false;
    fixture.receiveHoldings("vm-1", fixture.allChunks());
    Commands::startPeerBackoff(fixture.table, "vm-1", fixture.clock.now() + corruptPeerBackoff);
    Commands::startPeerBackoff(fixture.table, "vm-1", fixture.clock.now() + 1s);
    fixture.clock.advance(corruptPeerBackoff - 1ms);
    cr_assert(fixture.schedule().empty());
    fixture.clock.advance(1ms);
    cr_assert_not(fixture.schedule().empty());
}

// Guards against dropping what a peer holds because one response with its holdings was late: its chunks counted as held by
// nobody and were read from the origin again.
Test(ChunkScheduler, keepsTheHoldingsOfAPeerThatRespondsLate)
{
    for (auto kind : { WeightErrorKind::Stalled, WeightErrorKind::Unreachable }) {
        SchedulerFixture fixture(storeRegionOf(2), 0, 20);
        fixture.receiveHoldings("vm-1", fixture.allChunks());
        fixture.clock.advance(400ms);
        Commands::recordHoldingsRequested(fixture.table, "vm-1", fixture.manifest.digest, fixture.clock.now());
        fixture.clock.advance(peerCallTimeout);
        Commands::recordHoldingsFailed(fixture.table, "vm-1", fixture.manifest.digest, kind, fixture.clock.now());
        auto assignments = fixture.schedule();
        cr_assert_not(assignments.empty());
        cr_assert(allFrom(assignments, kind == WeightErrorKind::Stalled ? SourceKind::Peer : SourceKind::Origin));
    }
}

// Guards against a slow download that is given up although no other agent holds the chunk, and against waiting for a sender
// that does not respond at all.
Test(PeerQueries, onlyAReplaceableDownloadIsGivenUp)
{
    SchedulerFixture fixture(storeRegionOf(3), 0, 20);
    auto isReplaceable = [&] { return fixture.withInput([](auto& input) { return Queries::isReplaceable(input.peers, "vm-1", 5); }); };
    fixture.clock.advance(1s);
    fixture.receiveHoldings("vm-1", fixture.allChunks());
    fixture.receiveHoldings("vm-2", fixture.noChunks());
    cr_assert_not(isReplaceable());
    fixture.receiveHoldings("vm-2", fixture.allChunks());
    cr_assert(isReplaceable());
    Commands::startPeerBackoff(fixture.table, "vm-2", fixture.clock.now() + 1s);
    cr_assert_not(isReplaceable());
    fixture.clock.advance(1ms);
    Commands::recordHoldingsFailed(fixture.table, "vm-1", fixture.manifest.digest, WeightErrorKind::Stalled, fixture.clock.now());
    cr_assert(isReplaceable());
}

// Guards against chunks that are transferred over an inter-region link more than once.
Test(ChunkScheduler, onlyTheOwnerFetchesFromAnotherRegion)
{
    SchedulerFixture fixture(twoRegions(), 2, 20);
    fixture.receiveHoldings("a0", fixture.allChunks());
    fixture.receiveHoldings("a1", fixture.allChunks());
    fixture.receiveHoldings("b1", fixture.noChunks());
    auto assignments = fixture.schedule();
    cr_assert_eq(assignments.size(), maximumExternalDownloads);
    for (auto& assignment : assignments) {
        cr_assert(assignment.source == SourceKind::RemotePeer);
        cr_assert(fixture.ownership.chunks[assignment.chunk].ranked.front() == "b0");
    }
}

// Guards against every region fetching every chunk from the store's region.
Test(ChunkScheduler, waitsForThePreferredRegionWhileItMakesProgress)
{
    auto participants = twoRegions();
    participants.push_back({ "c0", "", "c", "third" });
    SchedulerFixture fixture(participants, 4, 20);
    fixture.receiveHoldings("a0", fixture.allChunks());
    fixture.receiveHoldings("a1", fixture.allChunks());
    fixture.receiveHoldings("b0", fixture.noChunks());
    fixture.receiveHoldings("b1", fixture.noChunks());
    auto fromStore = [&](unsigned chunk) { return fixture.ownership.chunks[chunk].upstream.front().front().starts_with("a"); };
    auto count = static_cast<size_t>(std::count_if(fixture.ownership.chunks.begin(), fixture.ownership.chunks.end(), [](auto& ownership) { return ownership.upstream.front().front().starts_with("a"); }));
    cr_assert(count > 0 && count < 20);
    for (auto& assignment : fixture.schedule())
        cr_assert(fromStore(assignment.chunk));
    for (unsigned i = 0; i < 20; ++i)
        fixture.held[i] = fromStore(i);
    cr_assert(fixture.schedule().empty());
    fixture.clock.advance(takeOverDeadline);
    cr_assert_not(fixture.schedule().empty());
}

// Guards against requests that a peer without a free upload slot would refuse, and against waiting longer than the peer
// announced.
Test(ChunkScheduler, waitsUntilAPeerExpectsAFreeSlot)
{
    SchedulerFixture fixture(storeRegionOf(2), 0, 20);
    fixture.originUsable = false;
    Commands::recordHoldings(fixture.table, "vm-1", fixture.manifest.digest, { true, fixture.allChunks(), {}, 0, 120ms }, fixture.clock.now());
    fixture.clock.advance(119ms);
    cr_assert(fixture.schedule().empty());
    fixture.clock.advance(1ms);
    cr_assert_not(fixture.schedule().empty());
}

// Guards against polling that exceeds the control traffic budget, and against a polling interval so long that peers appear
// to make no progress.
Test(ChunkScheduler, pollsLessOftenWhileManyChunksAreAvailable)
{
    SchedulerFixture fixture(storeRegionOf(3), 0, 20);
    auto interval = [&] { return fixture.withInput([](auto& input) { return Queries::chooseHoldingsInterval(input); }); };
    auto offered = fixture.noChunks();
    std::fill_n(offered.begin(), relaxedCandidateThreshold, true);
    cr_assert(interval() == holdingsInterval);
    fixture.receiveHoldings("vm-1", offered);
    cr_assert(interval() == relaxedHoldingsInterval);
    fixture.held[0] = true;
    cr_assert(interval() == holdingsInterval);
    cr_assert_geq(holdingsInterval, 400ms);
    cr_assert_lt(relaxedHoldingsInterval, takeOverDeadline);
}

// Guards against a wrong count of unavailable chunks in the delay reason shown to operators.
Test(ChunkScheduler, countsUnavailableChunks)
{
    SchedulerFixture fixture(storeRegionOf(3), 0, 20);
    auto some = fixture.noChunks();
    some[1] = true;
    some[2] = true;
    fixture.held[0] = true;
    fixture.receiveHoldings("vm-1", some);
    cr_assert_eq(fixture.withInput([](auto& input) { return Queries::countUnavailableChunks(input); }), 17);
}

// Guards against exceeding the neighbour limit and against data centres that never exchange chunks.
Test(Neighbours, keepPlacesForOtherDataCentres)
{
    auto participants = storeRegionOf(60);
    participants.push_back({ "far", "", "x", "remote" });
    auto neighbours = Queries::chooseNeighbours(participants[0], participants);
    cr_assert_eq(neighbours.size(), maximumNeighbours);
    auto outside = std::count_if(neighbours.begin(), neighbours.end(), [](auto& neighbour) { return neighbour.dataCentre != "dc-0"; });
    cr_assert_eq(static_cast<size_t>(outside), neighboursOutsideDataCentre);
    cr_assert(std::none_of(neighbours.begin(), neighbours.end(), [](auto& neighbour) { return neighbour.vm == "far" || neighbour.vm == "vm-0"; }));
}
