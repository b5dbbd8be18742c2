#pragma once

#include "Weights/PeerTable.h"

#include <map>
#include <vector>

namespace Lavenderloft::Weights::Queries {

// A peer as the choice of sources sees it.
struct PeerView {
    // Points into the list that viewPeers was given.
    const Participant* participant = nullptr;
    PeerProgress progress;
    unsigned activeDownloads = 0;
    // Not trusted because it sent corrupt bytes, stalled or broke off.
    bool avoided = false;
    // Without a free upload slot a moment ago; its holdings still count.
    bool busy = false;

    bool holds(size_t chunk) const
    {
        return progress.holdings && chunk < progress.holdings->held.size() && progress.holdings->held[chunk];
    }
};

using PeerViews = std::map<std::string, PeerView>;

// The participants as they are known now, by the name of their VM. The list must outlive the result.
PeerViews viewPeers(const PeerTable&, const std::vector<Participant>&, const std::string& manifestDigest, Base::TimePoint);

} // namespace Lavenderloft::Weights::Queries
