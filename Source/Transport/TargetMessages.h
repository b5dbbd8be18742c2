#pragma once

#include "Admission/TargetPort.h"
#include "Base/Clock.h"

#include "lavenderloft.pb.h"

// Conversion between the messages of TargetService and the types of Admission, for the agent.
namespace Lavenderloft::Transport {

namespace protocol = ::lavenderloft::v1;

Admission::AdmissionRequest decodeAdmit(const protocol::Admit&);
Admission::RequestHead decodeHead(const protocol::RequestHead&);

protocol::TargetLoad encodeLoad(const Membership::TargetLoad&);
protocol::ExecuteResponse encodePermit(const Admission::Permit&, const Membership::TargetLoad&, Base::TimePoint now);
protocol::ExecuteResponse encodeRefusal(const Admission::Refusal&, const Membership::TargetLoad&);
protocol::ExecuteResponse encodeResponseHead(const std::string& attemptId, const Admission::ResponseHead&);
protocol::ExecuteResponse encodeData(const std::string& attemptId, std::string bytes);
protocol::ExecuteResponse encodeEnd(const std::string& attemptId, const Admission::ResponseEnd&, const Membership::TargetLoad&);

} // namespace Lavenderloft::Transport
