#pragma once

#include "Weights/DownloadTable.h"

namespace Lavenderloft::Weights::Commands {

// Fails with Busy if the chunk is already being fetched.
Base::Result<Base::Done, WeightError> beginDownload(DownloadTable&, const std::string& chunkDigest, Download);

// Sets the handle that cancels the download.
void attachFetch(DownloadTable&, const std::string& chunkDigest, std::shared_ptr<ChunkFetch>);

void recordDownloadProgress(DownloadTable&, const std::string& chunkDigest, Base::TimePoint);

// Marks a download as cancelled; it remains in the table until its fetch has ended.
void markDownloadCancelled(DownloadTable&, const std::string& chunkDigest);

void endDownload(DownloadTable&, const std::string& chunkDigest);

} // namespace Lavenderloft::Weights::Commands
