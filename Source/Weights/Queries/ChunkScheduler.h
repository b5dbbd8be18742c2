#pragma once

#include "Base/RandomSource.h"
#include "Weights/DownloadTable.h"
#include "Weights/Queries/ChunkDuties.h"
#include "Weights/Queries/DownloadQueries.h"
#include "Weights/Queries/PeerQueries.h"

#include <unordered_set>

namespace Lavenderloft::Weights::Queries {

// Why a chunk was assigned to its source, for the log.
enum class AssignmentReason {
    RarestFirst,
    FirstInRank,
    TakenOver,
};

// The decision to fetch a chunk from a source.
struct ChunkAssignment {
    unsigned chunk = 0;
    SourceKind source = SourceKind::Origin;
    // The sender; empty for the origin.
    std::string vm;
    AssignmentReason reason = AssignmentReason::RarestFirst;
};

// All that the choice of the next chunks depends on.
struct ScheduleInput {
    const Manifest& manifest;
    const ChunkBitmap& held;
    const std::unordered_set<std::string>& underWay;
    DownloadCounts counts;
    const ChunkDuties& duties;
    const PeerViews& peers;
    Participant self;
    // Whether the participants are known and each neighbour has answered once or failed to; before that nothing is fetched
    // from afar.
    bool mayReachOut = false;
    // False during the pause after a failure of the origin.
    bool originUsable = true;
    Base::TimePoint now;
};

// The chunks to fetch now and from whom. Chunks that a neighbour holds are taken rarest first; a chunk that none holds is
// fetched from the origin, or from another region, by the first in rank.
std::vector<ChunkAssignment> scheduleChunks(const ScheduleInput&, Base::RandomSource&);

// Peers beside the neighbours whose holdings matter now: holders in other regions, and those that
// rank before this agent for a chunk that no neighbour holds.
struct WatchedPeers {
    std::vector<std::string> upstream;
    std::vector<std::string> ranked;
};

WatchedPeers choosePeersToWatch(const ScheduleInput&);

// Time between two questions to a neighbour, longer while there are many chunks to choose from.
std::chrono::milliseconds chooseHoldingsInterval(const ScheduleInput&);

// Chunks not held here that no peer that answers holds either.
unsigned countMissingEverywhere(const ScheduleInput&);

} // namespace Lavenderloft::Weights::Queries
