#pragma once

#include "Weights/UploadTable.h"

namespace Lavenderloft::Weights::Commands {

// Adds an upload that waits for a slot. Fails with Busy if too many wait already; receivers of
// other regions are counted apart.
Base::Result<Base::Done, WeightError> enqueueUpload(UploadTable&, uint64_t number, Upload);

// Gives a waiting upload a slot. Fails with Busy if none is free and with NotWanted if it has ended.
Base::Result<Base::Done, WeightError> startUpload(UploadTable&, uint64_t number, Base::TimePoint);

// Removes an upload and, if it had a slot, counts the time that it took.
void endUpload(UploadTable&, uint64_t number, Base::TimePoint);

} // namespace Lavenderloft::Weights::Commands
