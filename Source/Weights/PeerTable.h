#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Weights/PeerClient.h"

#include <unordered_map>

namespace Lavenderloft::Weights {

// What is known of a peer's part in one transfer.
struct PeerProgress {
    // Null until the peer has answered.
    std::shared_ptr<const Holdings> holdings;
    size_t heldCount = 0;
    bool askPending = false;
    Base::TimePoint askedAt;
    // When the last answer came, and when the last call failed.
    Base::TimePoint heardAt;
    Base::TimePoint failedAt;
    // When the peer was first asked, or last held more chunks than before.
    Base::TimePoint progressAt;
};

struct Peer {
    // The peer is not trusted as a source before this time.
    Base::TimePoint avoidUntil;
    // The peer had no free upload slot and is not asked for chunks before this time.
    Base::TimePoint busyUntil;
    unsigned activeDownloads = 0;
    std::unordered_map<std::string, PeerProgress> transfers;
};

// Other agents by the name of their VM. Commands/PeerCommands.h changes it, Queries/PeerQueries.h reads it.
struct PeerTable {
    Base::ShardedMap<std::string, Peer> peers;
};

} // namespace Lavenderloft::Weights
