#pragma once

#include "Routing/LiveRequest.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// Creates the admission request of an attempt. The weights digest is empty for a plain service.
AdmissionRequest makeAdmissionRequest(const LiveRequest&, const std::string& attemptId, const std::string& weightsDigest, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
