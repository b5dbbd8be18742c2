#pragma once

#include "Peering/PeerTable.h"

namespace Lavenderloft::Peering::Commands {

// Records a message from a router. An observation that is older than the known one is ignored.
void recordRouter(PeerTable&, const PeerRouter&);

// Records that another node has seen a router. This updates lastSeenAt only, not the state that the router reports itself.
void recordGossip(PeerTable&, const std::string& address, const std::string& dataCentre, Base::TimePoint lastSeenAt);

// Excludes a router that did not respond from requests for items for some time.
void startRouterBackoff(PeerTable&, const std::string& address, Base::TimePoint now);
void endRouterBackoff(PeerTable&, const std::string& address);

// Removes a router that announced its shutdown.
void removeRouter(PeerTable&, const std::string& address);

// Records a message from an agent. Returns whether to reply: the agent is behind, or the last reply is too old.
bool recordAgent(PeerTable&, const std::string& address, Fleet::StorePosition, Fleet::StorePosition ownPosition, Base::TimePoint now);

// Returns whether to tell the agent the demand now, and records that. At most once in the interval, replies included.
bool takeDemandReply(PeerTable&, const std::string& address, std::chrono::milliseconds interval, Base::TimePoint now);

// Removes nodes whose retention period has expired.
void removeExpiredPeers(PeerTable&, Base::TimePoint now);

} // namespace Lavenderloft::Peering::Commands
