#include "Weights/Queries/PeerQueries.h"

#include <algorithm>

namespace Lavenderloft::Weights::Queries {

PeerViews viewPeers(const PeerTable& table, const std::vector<Participant>& participants, const std::string& manifestDigest, Base::TimePoint now)
{
    PeerViews views;
    for (auto& participant : participants) {
        PeerView view { &participant, {}, 0, false, false };
        table.peers.withShard(participant.vm, [&](const auto& peers) {
            auto peer = peers.find(participant.vm);
            if (peer == peers.end())
                return;
            view.activeDownloads = peer->second.activeDownloads;
            view.inBackoff = peer->second.backoffUntil > now;
            view.busy = peer->second.busyUntil > now;
            auto progress = peer->second.transfers.find(manifestDigest);
            if (progress != peer->second.transfers.end())
                view.progress = progress->second;
        });
        views.emplace(participant.vm, std::move(view));
    }
    return views;
}

bool isReplaceable(const PeerViews& peers, const std::string& sender, unsigned chunk)
{
    auto found = peers.find(sender);
    if (found == peers.end() || found->second.progress.failedAt > found->second.progress.respondedAt)
        return true;
    return std::any_of(peers.begin(), peers.end(), [&](auto& entry) {
        auto& peer = entry.second;
        return entry.first != sender && !peer.inBackoff && !peer.busy && peer.holds(chunk);
    });
}

} // namespace Lavenderloft::Weights::Queries
