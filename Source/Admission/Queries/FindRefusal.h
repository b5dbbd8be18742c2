#pragma once

#include "Admission/AdmissionContext.h"
#include "Admission/AdmissionRequest.h"
#include "Admission/Refusal.h"

#include <optional>

namespace Lavenderloft::Admission::Queries {

// The reason why the target takes on no work of this kind now, whatever its load; nothing if it may.
std::optional<Refusal> findRefusal(const AdmissionContext&, const AdmissionRequest&);

// Whether the target takes on any work.
bool isAccepting(const AdmissionContext&);

} // namespace Lavenderloft::Admission::Queries
