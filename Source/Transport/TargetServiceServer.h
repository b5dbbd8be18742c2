#pragma once

#include "Admission/TargetPort.h"
#include "Base/Clock.h"

#include <memory>

namespace grpc { // NOLINT(readability-identifier-naming)
class Service;
}

namespace Lavenderloft::Transport {

// TargetService over gRPC. Encodes and decodes only; each stream holds at most one part of the answer.
// The port must outlive the service.
std::shared_ptr<grpc::Service> makeTargetService(Admission::TargetPort&, const Base::Clock&);

} // namespace Lavenderloft::Transport
