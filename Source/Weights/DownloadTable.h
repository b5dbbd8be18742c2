#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Weights/ChunkSource.h"

namespace Lavenderloft::Weights {

enum class SourceKind {
    // The weight store.
    Origin,
    // An agent of the same region.
    Peer,
    // An agent of another region.
    RemotePeer,
};

// A chunk that is being fetched.
struct Download {
    std::string manifestDigest;
    unsigned chunk = 0;
    SourceKind source = SourceKind::Origin;
    // The sender; empty for the origin.
    std::string vm;
    Base::TimePoint startedAt;
    Base::TimePoint progressAt;
    std::shared_ptr<ChunkFetch> fetch;
    // Cancelled because it stalled; it is about to end.
    bool dropped = false;
};

// Downloads under way by the digest of the chunk, so that a chunk is fetched once. Commands/DownloadCommands.h
// changes it, Queries/DownloadQueries.h reads it.
struct DownloadTable {
    Base::ShardedMap<std::string, Download> downloads;
};

} // namespace Lavenderloft::Weights
