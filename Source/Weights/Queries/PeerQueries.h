#pragma once

#include "Weights/PeerTable.h"

#include <map>
#include <vector>

namespace Lavenderloft::Weights::Queries {

// A peer as a potential source of chunks.
struct PeerView {
    // Points into the list passed to viewPeers().
    const Participant* participant = nullptr;
    PeerProgress progress;
    unsigned activeDownloads = 0;
    // Not used as a source because it sent corrupt bytes, stalled or became unreachable.
    bool inBackoff = false;
    // Recently without a free upload slot. Its holdings still count.
    bool busy = false;

    bool holds(size_t chunk) const
    {
        return progress.holdings && chunk < progress.holdings->held.size() && progress.holdings->held[chunk];
    }
};

using PeerViews = std::map<std::string, PeerView>;

// The current view of the participants, keyed by VM name. The list must outlive the result.
PeerViews viewPeers(const PeerTable&, const std::vector<Participant>&, const std::string& manifestDigest, Base::TimePoint);

// Whether a download that makes no progress should be given up: a peer other than the sender can be asked for the chunk,
// or the sender does not respond to other calls either.
bool isReplaceable(const PeerViews&, const std::string& sender, unsigned chunk);

} // namespace Lavenderloft::Weights::Queries
