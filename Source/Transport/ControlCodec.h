#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/Member.h"

namespace lavenderloft::v1 {
class ExchangeRequest;
class ExchangeResponse;
class Member;
class PoolReport;
} // namespace lavenderloft::v1

// Conversion between control-plane messages and the types of Membership. Unknown enumerators decode to the most
// conservative value.
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
