#pragma once

#include "Peering/PeerTable.h"

namespace Lavenderloft::Peering::Commands {

// Notes that a router was heard, directly or through another node. An older observation changes nothing.
void recordRouter(PeerTable&, const PeerRouter&);

// Notes that a router was heard by another node, which says nothing of what the router knows.
void recordHearsay(PeerTable&, const std::string& address, const std::string& dataCentre, Base::TimePoint heardAt);

// A router did not answer; others are asked for some time.
void avoidRouter(PeerTable&, const std::string& address, Base::TimePoint now);

// A router said that it ends.
void forgetRouter(PeerTable&, const std::string& address);

// Notes a message of an agent. Returns whether it should be answered: it lags, or was not answered lately.
bool recordAgent(PeerTable&, const std::string& address, uint64_t revision, uint64_t ownRevision, Base::TimePoint now);

// Forgets nodes that have been silent for too long.
void forgetSilentPeers(PeerTable&, Base::TimePoint now);

} // namespace Lavenderloft::Peering::Commands
