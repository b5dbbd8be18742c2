#pragma once

#include "Weights/LinkLimiter.h"
#include "Weights/UploadTable.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// Numbers of the waiting uploads that may start now, in order: the highest priority first, then receivers in other
// regions, then the longest wait. An upload whose link is at its limit does not hold back uploads over other links.
std::vector<uint64_t> uploadsToStart(const UploadTable&, const LinkLimiter&, Base::TimePoint);

// Numbers of the uploads that have waited too long and are to be refused.
std::vector<uint64_t> overdueUploads(const UploadTable&, Base::TimePoint);

unsigned freeUploadSlots(const UploadTable&);

// Time until an upload within the region can be accepted: zero while a place in the queue is free, otherwise the average
// time until one of the slots is released, so that the next in the queue moves up.
std::chrono::milliseconds slotExpectedIn(const UploadTable&);

// The upload with this number; an empty one if it has ended.
Upload findUpload(const UploadTable&, uint64_t number);

} // namespace Lavenderloft::Weights::Queries
