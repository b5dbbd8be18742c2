#pragma once

#include "Weights/ChunkStore.h"
#include "Weights/DownloadTable.h"
#include "Weights/OriginRecord.h"
#include "Weights/PeerTable.h"
#include "Weights/TransferTable.h"
#include "Weights/UploadTable.h"
#include "Weights/WeightCounters.h"

namespace Lavenderloft::Weights {

// All state of weight distribution on one VM.
struct WeightState {
    explicit WeightState(uint64_t memoryBudgetBytes)
        : chunks(memoryBudgetBytes)
    {
    }

    ChunkStore chunks;
    TransferTable transfers;
    PeerTable peers;
    DownloadTable downloads;
    UploadTable uploads;
    OriginRecord origin;
    WeightCounters counters;
};

} // namespace Lavenderloft::Weights
