#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Weights/PeerClient.h"

#include <unordered_map>

namespace Lavenderloft::Weights {

// The state of a peer in one transfer, as last reported.
struct PeerProgress {
    // Null until the peer has answered.
    std::shared_ptr<const Holdings> holdings;
    size_t heldCount = 0;
    bool requestPending = false;
    Base::TimePoint requestedAt;
    // Time of the last response and of the last failed request.
    Base::TimePoint respondedAt;
    Base::TimePoint failedAt;
    // Time of the first request to the peer, or of its last response that reported more chunks than before.
    Base::TimePoint progressAt;
};

struct Peer {
    // The peer is not used as a source before this time, because a download from it failed.
    Base::TimePoint backoffUntil;
    // The peer had no free upload slot; no chunk is requested from it before this time.
    Base::TimePoint busyUntil;
    unsigned activeDownloads = 0;
    std::unordered_map<std::string, PeerProgress> transfers;
};

// Other agents, keyed by VM name. Modified by Commands/PeerCommands.h, read by Queries/PeerQueries.h.
struct PeerTable {
    Base::ShardedMap<std::string, Peer> peers;
};

} // namespace Lavenderloft::Weights
