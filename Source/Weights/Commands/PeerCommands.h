#pragma once

#include "Weights/PeerTable.h"

namespace Lavenderloft::Weights::Commands {

// Records that the peer was asked for its holdings.
void recordAsked(PeerTable&, const std::string& vm, const std::string& manifestDigest, Base::TimePoint);

// Records the answer; if the peer expects a free upload slot only later, it is asked for no chunk before.
void recordHoldings(PeerTable&, const std::string& vm, const std::string& manifestDigest, const Holdings&, Base::TimePoint);

void recordUnreachable(PeerTable&, const std::string& vm, const std::string& manifestDigest, Base::TimePoint);

void recordDownloadBegun(PeerTable&, const std::string& vm);
void recordDownloadEnded(PeerTable&, const std::string& vm);

// Excludes the peer as a source; a later end of the exclusion stays.
void avoidPeer(PeerTable&, const std::string& vm, Base::TimePoint until);

// Pauses requests for chunks to a peer that is in order but has no free slot.
void pausePeer(PeerTable&, const std::string& vm, Base::TimePoint until);

// Drops what is known of the peers' part in the transfer.
void forgetTransfer(PeerTable&, const std::string& manifestDigest);

} // namespace Lavenderloft::Weights::Commands
