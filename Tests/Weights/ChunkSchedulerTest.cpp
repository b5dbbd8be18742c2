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

// One agent's view of a fleet, from which decisions are asked.
struct Scene {
    Scene(std::vector<Participant> all, size_t selfIndex, size_t chunkCount)
        : participants(std::move(all))
        , self(participants[selfIndex])
        , manifest(manifestOf(chunkCount))
        , duties(Queries::assignDuties(manifest, participants, self.region, "store"))
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
        Queries::ScheduleInput input { manifest, held, underWay, {}, duties, peers, self, true, originUsable, clock.now() };
        return function(input);
    }

    std::vector<Queries::ChunkAssignment> schedule()
    {
        return withInput([&](auto& input) { return Queries::scheduleChunks(input, random); });
    }

    void hear(const std::string& vm, ChunkBitmap bitmap, std::vector<unsigned> assigned = {})
    {
        Commands::recordAsked(table, vm, manifest.digest, clock.now());
        Commands::recordHoldings(table, vm, manifest.digest, { true, std::move(bitmap), std::move(assigned), uploadSlots }, clock.now());
    }

    // The chunks that the agent ranks first for.
    std::vector<unsigned> ownDuties() const
    {
        std::vector<unsigned> chunks;
        for (unsigned i = 0; i < duties.chunks.size(); ++i) {
            if (duties.chunks[i].ranked.front() == self.vm)
                chunks.push_back(i);
        }
        return chunks;
    }

    ChunkBitmap none() const { return ChunkBitmap(manifest.chunks.size(), false); }
    ChunkBitmap all() const { return ChunkBitmap(manifest.chunks.size(), true); }

    Base::ManualClock clock;
    Base::SeededRandom random { 7 };
    std::vector<Participant> participants;
    std::vector<Participant> sources;
    Participant self;
    Manifest manifest;
    Queries::ChunkDuties duties;
    ChunkBitmap held;
    std::unordered_set<std::string> underWay;
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

// Guards against several agents of the store's region reading the same chunk from the origin.
Test(ChunkScheduler, onlyTheFirstInRankReadsTheOrigin)
{
    std::vector<unsigned> readers(20, 0);
    for (size_t agent = 0; agent < 4; ++agent) {
        Scene scene(storeRegionOf(4), agent, 20);
        for (auto chunk : scene.ownDuties())
            ++readers[chunk];
        for (auto& assignment : scene.schedule()) {
            cr_assert(assignment.source == SourceKind::Origin);
            cr_assert(scene.duties.chunks[assignment.chunk].ranked.front() == scene.self.vm);
        }
    }
    for (auto count : readers)
        cr_assert_eq(count, 1);
}

// Guards against a take-over that comes too early, which doubles origin reads, or never.
Test(ChunkScheduler, takesOverAfterTheDeadlineWithoutProgress)
{
    Scene scene(storeRegionOf(2), 0, 20);
    auto other = scene.sources[0].vm;
    for (auto chunk : scene.ownDuties())
        scene.held[chunk] = true;
    scene.hear(other, scene.none());
    scene.clock.advance(takeOverDeadline - 1ms);
    cr_assert(scene.schedule().empty());
    scene.clock.advance(1ms);
    auto assignments = scene.schedule();
    cr_assert_not(assignments.empty());
    for (auto& assignment : assignments)
        cr_assert(assignment.reason == Queries::AssignmentReason::TakenOver);
}

// Guards against a take-over from an agent that has no free upload slot, is fetching the chunk or makes progress.
Test(ChunkScheduler, leavesDutiesWithAnAgentThatWorksOnThem)
{
    Scene scene(storeRegionOf(2), 0, 20);
    auto other = scene.sources[0].vm;
    for (auto chunk : scene.ownDuties())
        scene.held[chunk] = true;
    scene.hear(other, scene.none());
    Commands::pausePeer(scene.table, other, scene.clock.now() + 10s);
    cr_assert(scene.schedule().empty());
    std::vector<unsigned> every(20);
    for (unsigned i = 0; i < every.size(); ++i)
        every[i] = i;
    scene.hear(other, scene.none(), every);
    scene.clock.advance(takeOverDeadline + 1ms);
    cr_assert(scene.schedule().empty());
    scene.clock.advance(assignedTakeOverDeadline);
    cr_assert_not(scene.schedule().empty());
}

// Guards against a restarted agent that reads from the origin what its peers hold.
Test(ChunkScheduler, prefersPeersToTheOriginAlsoForOwnDuties)
{
    Scene scene(storeRegionOf(3), 0, 20);
    scene.hear("vm-1", scene.all());
    auto assignments = scene.schedule();
    cr_assert_eq(assignments.size(), maximumDownloadsPerPeer);
    cr_assert(allFrom(assignments, SourceKind::Peer));
}

// Guards against common chunks being fetched while a rare one may be lost.
Test(ChunkScheduler, fetchesTheRarestChunkFirst)
{
    Scene scene(storeRegionOf(4), 0, 20);
    auto common = scene.all();
    common[13] = false;
    scene.hear("vm-1", common);
    scene.hear("vm-2", common);
    scene.hear("vm-3", scene.all());
    auto assignments = scene.schedule();
    cr_assert_eq(assignments.front().chunk, 13);
    cr_assert(assignments.front().vm == "vm-3");
    // Equal seeds give equal choices.
    Scene again(storeRegionOf(4), 0, 20);
    again.hear("vm-1", common);
    again.hear("vm-2", common);
    again.hear("vm-3", again.all());
    auto repeated = again.schedule();
    cr_assert(std::equal(assignments.begin(), assignments.end(), repeated.begin(), repeated.end(), [](auto& left, auto& right) { return left.chunk == right.chunk && left.vm == right.vm; }));
}

// Guards against traffic between data centres while one in the own data centre holds the chunk.
Test(ChunkScheduler, prefersTheOwnDataCentre)
{
    Scene scene(storeRegionOf(4), 0, 20);
    for (auto& peer : scene.sources)
        scene.hear(peer.vm, scene.all());
    auto assignments = scene.schedule();
    cr_assert(assignments[0].vm == "vm-2");
    cr_assert_eq(assignments.size(), maximumDownloads);
}

// Guards against a sender of corrupt bytes, or a stalled one, being asked again too soon.
Test(ChunkScheduler, avoidsAFaultySenderForItsTime)
{
    Scene scene(storeRegionOf(2), 0, 20);
    scene.originUsable = false;
    scene.hear("vm-1", scene.all());
    Commands::avoidPeer(scene.table, "vm-1", scene.clock.now() + corruptPeerAvoidance);
    Commands::avoidPeer(scene.table, "vm-1", scene.clock.now() + 1s);
    scene.clock.advance(corruptPeerAvoidance - 1ms);
    cr_assert(scene.schedule().empty());
    scene.clock.advance(1ms);
    cr_assert_not(scene.schedule().empty());
}

// Guards against chunks that cross a link more than once, and against a wait for an agent that is gone.
Test(ChunkScheduler, onlyTheFirstInRankCrossesTheLink)
{
    Scene scene(twoRegions(), 2, 20);
    scene.hear("a0", scene.all());
    scene.hear("a1", scene.all());
    scene.hear("b1", scene.none());
    auto assignments = scene.schedule();
    cr_assert_eq(assignments.size(), maximumLongDownloads);
    for (auto& assignment : assignments) {
        cr_assert(assignment.source == SourceKind::RemotePeer);
        cr_assert(scene.duties.chunks[assignment.chunk].ranked.front() == "b0");
    }
}

// Guards against every region taking every chunk from the store's region.
Test(ChunkScheduler, waitsForThePreferredRegionWhileItWorks)
{
    auto participants = twoRegions();
    participants.push_back({ "c0", "", "c", "third" });
    Scene scene(participants, 4, 20);
    scene.hear("a0", scene.all());
    scene.hear("a1", scene.all());
    scene.hear("b0", scene.none());
    scene.hear("b1", scene.none());
    auto fromStore = [&](unsigned chunk) { return scene.duties.chunks[chunk].upstream.front().front().starts_with("a"); };
    auto count = static_cast<size_t>(std::count_if(scene.duties.chunks.begin(), scene.duties.chunks.end(), [](auto& duty) { return duty.upstream.front().front().starts_with("a"); }));
    cr_assert(count > 0 && count < 20);
    for (auto& assignment : scene.schedule())
        cr_assert(fromStore(assignment.chunk));
    for (unsigned i = 0; i < 20; ++i)
        scene.held[i] = fromStore(i);
    cr_assert(scene.schedule().empty());
    scene.clock.advance(takeOverDeadline);
    cr_assert_not(scene.schedule().empty());
}

// Guards against requests that a peer without a free upload slot would refuse, and a pause that outlasts the announced time.
Test(ChunkScheduler, waitsUntilAPeerExpectsAFreeSlot)
{
    Scene scene(storeRegionOf(2), 0, 20);
    scene.originUsable = false;
    Commands::recordHoldings(scene.table, "vm-1", scene.manifest.digest, { true, scene.all(), {}, 0, 120ms }, scene.clock.now());
    scene.clock.advance(119ms);
    cr_assert(scene.schedule().empty());
    scene.clock.advance(1ms);
    cr_assert_not(scene.schedule().empty());
}

// Guards against questions that exceed the control budget, and against peers that seem to make no progress because they
// are asked too seldom.
Test(ChunkScheduler, asksSeldomWhileManyChunksCanBeHad)
{
    Scene scene(storeRegionOf(3), 0, 20);
    auto interval = [&] { return scene.withInput([](auto& input) { return Queries::chooseHoldingsInterval(input); }); };
    auto offered = scene.none();
    std::fill_n(offered.begin(), relaxedChoice, true);
    cr_assert(interval() == holdingsInterval);
    scene.hear("vm-1", offered);
    cr_assert(interval() == relaxedHoldingsInterval);
    scene.held[0] = true;
    cr_assert(interval() == holdingsInterval);
    cr_assert_geq(holdingsInterval, 400ms);
    cr_assert_lt(relaxedHoldingsInterval, takeOverDeadline);
}

// Guards against a wrong count of missing chunks in the reason that operators read.
Test(ChunkScheduler, countsChunksThatNobodyHolds)
{
    Scene scene(storeRegionOf(3), 0, 20);
    auto some = scene.none();
    some[1] = true;
    some[2] = true;
    scene.held[0] = true;
    scene.hear("vm-1", some);
    cr_assert_eq(scene.withInput([](auto& input) { return Queries::countMissingEverywhere(input); }), 17);
}

// Guards against more neighbours than the limit and against data centres that never exchange chunks.
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
