#pragma once

#include <chrono>
#include <cstddef>

namespace Lavenderloft::Weights {

using namespace std::chrono_literals;

// Peers whose holdings an agent polls.
inline constexpr size_t maximumNeighbours = 16;
// Neighbours in other data centres, so that chunks spread between the data centres of a region.
inline constexpr size_t neighboursOutsideDataCentre = 4;
// Peers polled in addition to the neighbours: sources in other regions, and agents that rank higher for a chunk.
inline constexpr size_t maximumWatchedPeers = 16;

inline constexpr unsigned uploadSlots = 4;
// Uploads queued for a slot, so that no slot is idle while there is demand.
// With a longer queue receivers waited at busy peers while others had free slots.
inline constexpr size_t maximumWaitingUploads = 2;
// Shorter than stallTimeout, so that a queued receiver does not treat the sender as stalled.
inline constexpr std::chrono::milliseconds uploadQueueTimeout = 500ms;

// Minimum delay before the next request to an agent without a free upload slot. Applies also before the agent's first
// upload has ended, when its mean upload duration is unknown.
inline constexpr std::chrono::milliseconds minimumSlotWait = 50ms;

inline constexpr unsigned maximumDownloads = 6;
inline constexpr unsigned maximumDownloadsPerPeer = 2;
// Agents of a region that fetch from the origin and from other regions.
inline constexpr size_t ownersPerRegion = 8;
// Concurrent downloads from the origin or another region.
inline constexpr unsigned maximumExternalDownloads = 3;
// Concurrent downloads from the origin by all agents of a region; each agent may always run one. With more of them on
// the link the first chunks arrive late and peers cannot start to fetch them.
inline constexpr unsigned originDownloadsPerRegion = 12;

// Polling interval for a neighbour's holdings while few chunks can be fetched from neighbours.
inline constexpr std::chrono::milliseconds holdingsInterval = 400ms;
// The same while many chunks can be fetched. Holdings are most of the control traffic: halving both intervals cost 60%
// more bytes and saved 1.5% of the time.
inline constexpr std::chrono::milliseconds relaxedHoldingsInterval = 1600ms;
inline constexpr size_t relaxedCandidateThreshold = 3 * maximumDownloads;
inline constexpr std::chrono::milliseconds watchInterval = 1000ms;
inline constexpr std::chrono::milliseconds peerCallTimeout = 1000ms;
// A download from a peer that makes no progress for this long is cancelled if it can be replaced.
inline constexpr std::chrono::milliseconds stallTimeout = 1000ms;
// The same if no other peer holds the chunk and the sender responds to other calls. It may only be slow, and what has
// arrived would be dropped.
inline constexpr std::chrono::milliseconds onlySenderStallTimeout = 8000ms;
inline constexpr std::chrono::milliseconds stalledPeerBackoff = 10000ms;
inline constexpr std::chrono::milliseconds corruptPeerBackoff = 30000ms;
// Delay before the next request to a peer that refused one because it had no free slot.
inline constexpr std::chrono::milliseconds busyPeerRetryDelay = 250ms;
// The next agent in rank takes over from one that has made no progress for this long.
inline constexpr std::chrono::milliseconds takeOverDeadline = 2000ms;
// The same for an agent that reports that it is fetching the chunk, possibly over a slow shared link.
inline constexpr std::chrono::milliseconds assignedTakeOverDeadline = 6000ms;
// Nothing is fetched from the origin or another region until the list of participants has been unchanged for this long:
// early in a rollout an agent may not know yet which others want the version.
inline constexpr std::chrono::milliseconds participantsSettleTime = 400ms;
inline constexpr std::chrono::milliseconds participantsSettleTimeout = 3000ms;
// A transfer without progress for this long reports the reason.
inline constexpr std::chrono::milliseconds delayReportThreshold = 5000ms;
// Chunks of a replaced version are kept at most this long while the manifest of the new version has not arrived.
inline constexpr std::chrono::milliseconds retiredChunkRetention = 30000ms;
// Initial and maximum backoff after a failure of the weight store.
inline constexpr std::chrono::milliseconds initialOriginBackoff = 250ms;
inline constexpr std::chrono::milliseconds maximumOriginBackoff = 8000ms;

// Parts per chunk, so that the receiver sees progress on a slow link before the stall limit, and bounds of a part's size.
inline constexpr size_t partsPerChunk = 8;
inline constexpr size_t minimumPartBytes = 4 * 1024;
inline constexpr size_t maximumPartBytes = 32 * 1024;

} // namespace Lavenderloft::Weights
