#include "Weights/Commands/DownloadCommands.h"

namespace Lavenderloft::Weights::Commands {

Base::Result<Base::Done, WeightError> beginDownload(DownloadTable& table, const std::string& chunkDigest, Download download)
{
    return table.downloads.withShard(chunkDigest, [&](auto& downloads) -> Base::Result<Base::Done, WeightError> {
        if (!downloads.try_emplace(chunkDigest, std::move(download)).second)
            return WeightError { WeightErrorKind::Busy, "chunk " + chunkDigest + " is already being fetched", "" };
        return Base::Done {};
    });
}

void attachFetch(DownloadTable& table, const std::string& chunkDigest, std::shared_ptr<ChunkFetch> fetch)
{
    table.downloads.withShard(chunkDigest, [&](auto& downloads) {
        auto entry = downloads.find(chunkDigest);
        if (entry != downloads.end())
            entry->second.fetch = std::move(fetch);
    });
}

void recordDownloadProgress(DownloadTable& table, const std::string& chunkDigest, Base::TimePoint now)
{
    table.downloads.withShard(chunkDigest, [&](auto& downloads) {
        auto entry = downloads.find(chunkDigest);
        if (entry != downloads.end())
            entry->second.progressAt = now;
    });
}

void markDownloadCancelled(DownloadTable& table, const std::string& chunkDigest)
{
    table.downloads.withShard(chunkDigest, [&](auto& downloads) {
        auto entry = downloads.find(chunkDigest);
        if (entry != downloads.end())
            entry->second.cancelled = true;
    });
}

void endDownload(DownloadTable& table, const std::string& chunkDigest)
{
    table.downloads.erase(chunkDigest);
}

} // namespace Lavenderloft::Weights::Commands
