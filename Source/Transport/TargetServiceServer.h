#pragma once

#include "Admission/TargetPort.h"
#include "Base/Clock.h"

#include <memory>

namespace grpc { // NOLINT(readability-identifier-naming)
class Service;
}

namespace Lavenderloft::Transport {

// Creates the gRPC implementation of TargetService, which only encodes and decodes messages. Each stream buffers at
// most one part of the response. The port must outlive the service.
std::shared_ptr<grpc::Service> makeTargetService(Admission::TargetPort&, const Base::Clock&);

} // namespace Lavenderloft::Transport
