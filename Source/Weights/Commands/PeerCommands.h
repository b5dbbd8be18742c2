#pragma once

#include "Weights/PeerTable.h"

namespace Lavenderloft::Weights::Commands {

// Records that a holdings request was sent to the peer.
void recordHoldingsRequested(PeerTable&, const std::string& vm, const std::string& manifestDigest, Base::TimePoint);

// Records the response. If the peer announces when an upload slot becomes free, no chunk is requested before then.
void recordHoldings(PeerTable&, const std::string& vm, const std::string& manifestDigest, const Holdings&, Base::TimePoint);

// Records a request for holdings that failed. The last reported holdings count until the connection is lost: a response that
// is late says nothing about them, and an agent never discards chunks of a wanted version.
void recordHoldingsFailed(PeerTable&, const std::string& vm, const std::string& manifestDigest, WeightErrorKind, Base::TimePoint);

void recordDownloadBegun(PeerTable&, const std::string& vm);
void recordDownloadEnded(PeerTable&, const std::string& vm);

// Excludes the peer as a source until the given time; never shortens a backoff.
void startPeerBackoff(PeerTable&, const std::string& vm, Base::TimePoint until);

// Suspends chunk requests to a healthy peer that has no free upload slot.
void pausePeer(PeerTable&, const std::string& vm, Base::TimePoint until);

// Removes the state of all peers in the transfer.
void removeTransferProgress(PeerTable&, const std::string& manifestDigest);

} // namespace Lavenderloft::Weights::Commands
