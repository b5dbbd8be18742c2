#pragma once

#include "Routing/TargetChannel.h"
#include "lavenderloft.pb.h"

// Conversion between the messages of TargetService and the types of Routing, for the router. Makes no decisions.
namespace Lavenderloft::Transport {

namespace v1 = ::lavenderloft::v1;

v1::Admit encodeAdmission(const Routing::AdmissionRequest&);
v1::RequestHead encodeHead(const std::string& permitId, const Routing::CallerRequest&);

Routing::Permit decodePermit(const v1::Permit&);
Routing::Refusal decodeRefusal(const v1::Refusal&);
Routing::ResponseHead decodeHead(v1::ResponseHead&&);
Routing::ResponseEnd decodeEnd(const v1::ResponseEnd&);
Routing::Resolution decodeResolution(const v1::ResolveAttemptResponse&);
Membership::TargetLoad decodeLoad(const v1::TargetLoad&);

} // namespace Lavenderloft::Transport
