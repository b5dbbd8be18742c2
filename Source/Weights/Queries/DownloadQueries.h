#pragma once

#include "Weights/DownloadTable.h"

#include <unordered_set>
#include <vector>

namespace Lavenderloft::Weights::Queries {

struct DownloadCounts {
    unsigned fromPeers = 0;
    // From the origin or another region.
    unsigned external = 0;
};

std::unordered_set<std::string> chunksInFlight(const DownloadTable&);

DownloadCounts countDownloads(const DownloadTable&);

// Chunks of the manifest that are being fetched from the origin or another region.
std::vector<unsigned> assignedChunks(const DownloadTable&, const std::string& manifestDigest);

struct StalledDownload {
    std::string chunkDigest;
    Download download;
};

// Downloads from other agents without progress since the given time that are not cancelled yet. Downloads from the
// weight store are exempt: the store is rate-limited and may delay responses, and its client has a longer limit.
std::vector<StalledDownload> stalledDownloads(const DownloadTable&, Base::TimePoint since);

std::vector<Download> allDownloads(const DownloadTable&);

std::vector<Download> downloadsOf(const DownloadTable&, const std::string& manifestDigest);

} // namespace Lavenderloft::Weights::Queries
