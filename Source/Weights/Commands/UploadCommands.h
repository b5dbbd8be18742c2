#pragma once

#include "Weights/UploadTable.h"

namespace Lavenderloft::Weights::Commands {

// Queues an upload for a slot. Fails with Busy if the queue is full; uploads to other regions have a
// queue of their own.
Base::Result<Base::Done, WeightError> enqueueUpload(UploadTable&, uint64_t number, Upload);

// Assigns a slot to a queued upload. Fails with Busy if none is free and with NotWanted if the upload is not queued.
Base::Result<Base::Done, WeightError> startUpload(UploadTable&, uint64_t number, Base::TimePoint);

// Removes an upload and, if it had a slot, adds its duration to the moving average.
void endUpload(UploadTable&, uint64_t number, Base::TimePoint);

} // namespace Lavenderloft::Weights::Commands
