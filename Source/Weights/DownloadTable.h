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

// The download of one chunk.
struct Download {
    std::string manifestDigest;
    unsigned chunk = 0;
    SourceKind source = SourceKind::Origin;
    // The sender; empty for the origin.
    std::string vm;
    Base::TimePoint startedAt;
    Base::TimePoint progressAt;
    std::shared_ptr<ChunkFetch> fetch;
    // Cancelled because it stalled; the fetch has not ended yet.
    bool cancelled = false;
};

// Downloads in progress, keyed by chunk digest so that a chunk is not fetched twice at the same time. Modified by
// Commands/DownloadCommands.h, read by Queries/DownloadQueries.h.
struct DownloadTable {
    Base::ShardedMap<std::string, Download> downloads;
};

} // namespace Lavenderloft::Weights
