#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/Member.h"

namespace lavenderloft::v1 {
class ExchangeRequest;
class ExchangeResponse;
class Member;
class PoolReport;
} // namespace lavenderloft::v1

// Encoding of the control plane's messages. Unknown enumerators decode to the most careful value.
namespace Lavenderloft::Transport {

void encode(const Membership::Member&, ::lavenderloft::v1::Member&);
Membership::Member decode(const ::lavenderloft::v1::Member&);

void encode(const Membership::PoolReport&, ::lavenderloft::v1::PoolReport&);
Membership::PoolReport decode(const ::lavenderloft::v1::PoolReport&);

void encode(const Membership::GossipMessage&, ::lavenderloft::v1::ExchangeRequest&);
void encode(const Membership::GossipMessage&, ::lavenderloft::v1::ExchangeResponse&);
Membership::GossipMessage decode(const ::lavenderloft::v1::ExchangeRequest&);
Membership::GossipMessage decode(const ::lavenderloft::v1::ExchangeResponse&, const std::string& fromVm);

} // namespace Lavenderloft::Transport
