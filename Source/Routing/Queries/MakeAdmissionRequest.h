#pragma once

#include "Routing/LiveRequest.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// What a target's agent is told of a request before it decides on it. The digest names the weights that
// must answer; it is empty for a plain service.
AdmissionRequest makeAdmissionRequest(const LiveRequest&, const std::string& attemptId, const std::string& weightsDigest, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
