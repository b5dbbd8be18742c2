#pragma once

#include <chrono>
#include <cstddef>

namespace Lavenderloft::Weights {

using namespace std::chrono_literals;

// Agents whose holdings an agent follows.
inline constexpr size_t maximumNeighbours = 16;
// Neighbours outside the own data centre, so that chunks pass between the data centres of a region.
inline constexpr size_t neighboursOutsideDataCentre = 4;
// Agents that are asked beside the neighbours: sources in other regions, and those first in rank for a chunk.
inline constexpr size_t maximumWatchedPeers = 16;

inline constexpr unsigned uploadSlots = 4;
// Uploads that wait for a slot, so that a slot is never idle while there is demand.
// A longer queue made receivers wait at busy peers while others had free slots.
inline constexpr size_t maximumWaitingUploads = 2;
// Shorter than stallLimit, so that a waiting receiver does not take the sender for stalled.
inline constexpr std::chrono::milliseconds uploadWaitLimit = 500ms;

// Least time after which an agent without a free upload slot is asked again, also when it has not sent a chunk yet.
inline constexpr std::chrono::milliseconds shortestSlotWait = 50ms;

inline constexpr unsigned maximumDownloads = 6;
inline constexpr unsigned maximumDownloadsPerPeer = 2;
// Agents of a region that read from the origin and from other regions.
inline constexpr size_t dutyAgentsPerRegion = 8;
// Downloads from the origin or another region at a time.
inline constexpr unsigned maximumLongDownloads = 3;
// Downloads from the origin at a time by all agents of a region, as far as one for each allows. Many at once share the
// link, so that the first chunks arrive late and cannot be passed on.
inline constexpr unsigned originDownloadsPerRegion = 12;

// Time between two questions to a neighbour: while there is little to choose from, and while many chunks can be had.
inline constexpr std::chrono::milliseconds holdingsInterval = 400ms;
// Holdings are the greater part of the control traffic: half these intervals took 60% more bytes and saved 1.5% of the time.
inline constexpr std::chrono::milliseconds relaxedHoldingsInterval = 1600ms;
inline constexpr size_t relaxedChoice = 3 * maximumDownloads;
inline constexpr std::chrono::milliseconds watchInterval = 1000ms;
inline constexpr std::chrono::milliseconds peerCallTimeout = 1000ms;
// A peer without progress for this long is dropped.
inline constexpr std::chrono::milliseconds stallLimit = 1000ms;
inline constexpr std::chrono::milliseconds stalledPeerAvoidance = 10000ms;
inline constexpr std::chrono::milliseconds corruptPeerAvoidance = 30000ms;
// Pause before a peer without a free slot is asked again.
inline constexpr std::chrono::milliseconds busyPeerPause = 250ms;
// The next in rank takes over from an agent that has shown no progress for this long.
inline constexpr std::chrono::milliseconds takeOverDeadline = 2000ms;
// The same for an agent that says that it is fetching the chunk, which may share a slow link with others.
inline constexpr std::chrono::milliseconds assignedTakeOverDeadline = 6000ms;
// Nothing is fetched from afar before the list of participants has been unchanged for this long; early in a rollout an agent
// may not know yet who else wants the version.
inline constexpr std::chrono::milliseconds participantsSettleTime = 400ms;
inline constexpr std::chrono::milliseconds participantsSettleLimit = 3000ms;
// A transfer without progress for this long reports why.
inline constexpr std::chrono::milliseconds delayReportLimit = 5000ms;
// Chunks of a replaced version are kept at most this long while the manifest of the new version is awaited.
inline constexpr std::chrono::milliseconds retiredChunkLimit = 30000ms;
// First and longest pause after a failure of the weight store.
inline constexpr std::chrono::milliseconds originRetryFirst = 250ms;
inline constexpr std::chrono::milliseconds originRetryLongest = 8000ms;

// Messages of one chunk, so that the receiver sees progress on a slow link before the stall limit, and bounds for their size.
inline constexpr size_t partsPerChunk = 8;
inline constexpr size_t minimumPartBytes = 4 * 1024;
inline constexpr size_t maximumPartBytes = 32 * 1024;

} // namespace Lavenderloft::Weights
