#pragma once

#include "Weights/DownloadTable.h"

namespace Lavenderloft::Weights::Commands {

// Fails with Busy if the chunk is being fetched already.
Base::Result<Base::Done, WeightError> beginDownload(DownloadTable&, const std::string& chunkDigest, Download);

// Adds the handle by which the download can be cancelled.
void attachFetch(DownloadTable&, const std::string& chunkDigest, std::shared_ptr<ChunkFetch>);

void recordDownloadProgress(DownloadTable&, const std::string& chunkDigest, Base::TimePoint);

// Marks a stalled download that is being cancelled.
void dropDownload(DownloadTable&, const std::string& chunkDigest);

void endDownload(DownloadTable&, const std::string& chunkDigest);

} // namespace Lavenderloft::Weights::Commands
