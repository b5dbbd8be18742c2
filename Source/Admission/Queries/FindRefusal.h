#pragma once

#include "Admission/AdmissionContext.h"
#include "Admission/AdmissionRequest.h"
#include "Admission/Refusal.h"

#include <optional>

namespace Lavenderloft::Admission::Queries {

// Checks whether the target can run the request, regardless of its load.
std::optional<Refusal> findRefusal(const AdmissionContext&, const AdmissionRequest&);

// Whether the target accepts requests.
bool isAccepting(const AdmissionContext&);

} // namespace Lavenderloft::Admission::Queries
