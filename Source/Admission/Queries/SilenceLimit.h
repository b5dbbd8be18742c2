#pragma once

#include "Admission/AdmissionRequest.h"

#include <chrono>

namespace Lavenderloft::Admission::Queries {

// How long the target may send nothing before its response is given up: up to the deadline, because a silent target may
// only be slow.
std::chrono::milliseconds silenceLimit(const AdmissionRequest&);

} // namespace Lavenderloft::Admission::Queries
