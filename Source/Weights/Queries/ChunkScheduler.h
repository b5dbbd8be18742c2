#pragma once

#include "Base/RandomSource.h"
#include "Weights/DownloadTable.h"
#include "Weights/Queries/ChunkOwnership.h"
#include "Weights/Queries/DownloadQueries.h"
#include "Weights/Queries/PeerQueries.h"

#include <unordered_set>

namespace Lavenderloft::Weights::Queries {

// Why a chunk was assigned to its source; written to the log.
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

// Input of scheduleChunks().
struct ScheduleInput {
    const Manifest& manifest;
    const ChunkBitmap& held;
    const std::unordered_set<std::string>& inFlight;
    DownloadCounts counts;
    const ManifestOwnership& ownership;
    const PeerViews& peers;
    Participant self;
    // Whether the list of participants has settled and every neighbour has answered or failed once. Until then nothing is
    // fetched from the origin or another region.
    bool mayFetchExternally = false;
    // False during the backoff after a failure of the origin.
    bool originUsable = true;
    Base::TimePoint now;
};

// Returns the chunks to fetch now and their sources. Chunks held by peers of the region are fetched from them, rarest
// first; any other chunk is fetched by its owner from the origin or another region.
std::vector<ChunkAssignment> scheduleChunks(const ScheduleInput&, Base::RandomSource&);

// Peers to poll in addition to the neighbours: sources in other regions, and agents that rank
// higher than this one for a chunk that no neighbour holds.
struct WatchedPeers {
    std::vector<std::string> upstream;
    std::vector<std::string> ranked;
};

WatchedPeers choosePeersToWatch(const ScheduleInput&);

// Polling interval for the holdings of a neighbour; longer while many chunks can be fetched from neighbours.
std::chrono::milliseconds chooseHoldingsInterval(const ScheduleInput&);

// Number of missing chunks that no reachable peer holds.
unsigned countUnavailableChunks(const ScheduleInput&);

} // namespace Lavenderloft::Weights::Queries
