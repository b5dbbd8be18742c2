#pragma once

#include "Weights/PeerTable.h"

#include <map>
#include <vector>

namespace Lavenderloft::Weights::Queries {

// A peer as the choice of sources sees it.
struct PeerView {
    Participant participant;
    PeerProgress progress;
    unsigned activeDownloads = 0;
    // Avoided because it sent corrupt bytes, stalled or had no free slot.
    bool avoided = false;

    bool holds(size_t chunk) const
    {
        return progress.holdings && chunk < progress.holdings->held.size() && progress.holdings->held[chunk];
    }
};

using PeerViews = std::map<std::string, PeerView>;

// The participants as they are known now, by the name of their VM.
PeerViews viewPeers(const PeerTable&, const std::vector<Participant>&, const std::string& manifestDigest, Base::TimePoint);

} // namespace Lavenderloft::Weights::Queries
