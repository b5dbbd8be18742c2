#include "Weights/Queries/DownloadQueries.h"

namespace Lavenderloft::Weights::Queries {

std::unordered_set<std::string> chunksInFlight(const DownloadTable& table)
{
    std::unordered_set<std::string> digests;
    table.downloads.forEach([&](auto& digest, auto&) { digests.insert(digest); });
    return digests;
}

DownloadCounts countDownloads(const DownloadTable& table)
{
    DownloadCounts counts;
    table.downloads.forEach([&](auto&, const Download& download) {
        ++(download.source == SourceKind::Peer ? counts.fromPeers : counts.external);
    });
    return counts;
}

std::vector<unsigned> assignedChunks(const DownloadTable& table, const std::string& manifestDigest)
{
    std::vector<unsigned> chunks;
    table.downloads.forEach([&](auto&, const Download& download) {
        if (download.source != SourceKind::Peer && download.manifestDigest == manifestDigest)
            chunks.push_back(download.chunk);
    });
    return chunks;
}

std::vector<StalledDownload> stalledDownloads(const DownloadTable& table, Base::TimePoint since)
{
    std::vector<StalledDownload> stalled;
    table.downloads.forEach([&](auto& digest, const Download& download) {
        if (download.source != SourceKind::Origin && download.fetch && !download.cancelled && download.progressAt < since)
            stalled.push_back({ digest, download });
    });
    return stalled;
}

std::vector<Download> allDownloads(const DownloadTable& table)
{
    std::vector<Download> downloads;
    table.downloads.forEach([&](auto&, const Download& download) { downloads.push_back(download); });
    return downloads;
}

std::vector<Download> downloadsOf(const DownloadTable& table, const std::string& manifestDigest)
{
    std::vector<Download> downloads;
    table.downloads.forEach([&](auto&, const Download& download) {
        if (download.manifestDigest == manifestDigest)
            downloads.push_back(download);
    });
    return downloads;
}

} // namespace Lavenderloft::Weights::Queries
