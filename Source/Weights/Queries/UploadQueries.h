#pragma once

#include "Weights/LinkLimiter.h"
#include "Weights/UploadTable.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// Sequence numbers of the queued uploads that may start now: highest priority first, then receivers in other
// regions, then the longest wait. An upload over a saturated link does not block uploads over other links.
std::vector<uint64_t> uploadsToStart(const UploadTable&, const LinkLimiter&, Base::TimePoint);

// Sequence numbers of the uploads that have waited too long and must be refused.
std::vector<uint64_t> overdueUploads(const UploadTable&, Base::TimePoint);

unsigned freeUploadSlots(const UploadTable&);

// Time until an upload within the region can be accepted: zero while the queue has room, otherwise the average time until
// one of the slots is released.
std::chrono::milliseconds slotExpectedIn(const UploadTable&);

// The upload with this number; an empty one if it has ended.
Upload findUpload(const UploadTable&, uint64_t number);

} // namespace Lavenderloft::Weights::Queries
