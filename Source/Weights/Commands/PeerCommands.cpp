#include "Weights/Commands/PeerCommands.h"

#include <algorithm>

namespace Lavenderloft::Weights::Commands {

namespace {

    template <typename Function>
    void updatePeer(PeerTable& table, const std::string& vm, Function&& function)
    {
        table.peers.withShard(vm, [&](auto& peers) { function(peers[vm]); });
    }

    template <typename Function>
    void updateProgress(PeerTable& table, const std::string& vm, const std::string& manifestDigest, Function&& function)
    {
        updatePeer(table, vm, [&](Peer& peer) { function(peer.transfers[manifestDigest]); });
    }

} // namespace

void recordHoldingsRequested(PeerTable& table, const std::string& vm, const std::string& manifestDigest, Base::TimePoint now)
{
    updateProgress(table, vm, manifestDigest, [&](PeerProgress& progress) {
        progress.requestPending = true;
        progress.requestedAt = now;
        if (progress.progressAt == Base::TimePoint {})
            progress.progressAt = now;
    });
}

void recordHoldings(PeerTable& table, const std::string& vm, const std::string& manifestDigest, const Holdings& holdings, Base::TimePoint now)
{
    auto heldCount = static_cast<size_t>(std::count(holdings.held.begin(), holdings.held.end(), true));
    updateProgress(table, vm, manifestDigest, [&](PeerProgress& progress) {
        progress.requestPending = false;
        progress.respondedAt = now;
        progress.holdings = std::make_shared<const Holdings>(holdings);
        if (heldCount > progress.heldCount)
            progress.progressAt = now;
        progress.heldCount = heldCount;
    });
    if (holdings.slotExpectedIn > std::chrono::milliseconds::zero())
        pausePeer(table, vm, now + holdings.slotExpectedIn);
}

void recordHoldingsFailed(PeerTable& table, const std::string& vm, const std::string& manifestDigest, WeightErrorKind kind, Base::TimePoint now)
{
    updateProgress(table, vm, manifestDigest, [&](PeerProgress& progress) {
        progress.requestPending = false;
        progress.failedAt = now;
        if (kind != WeightErrorKind::Stalled)
            progress.holdings = nullptr;
    });
}

void recordDownloadBegun(PeerTable& table, const std::string& vm)
{
    updatePeer(table, vm, [](Peer& peer) { ++peer.activeDownloads; });
}

void recordDownloadEnded(PeerTable& table, const std::string& vm)
{
    updatePeer(table, vm, [](Peer& peer) { peer.activeDownloads -= std::min(peer.activeDownloads, 1u); });
}

void startPeerBackoff(PeerTable& table, const std::string& vm, Base::TimePoint until)
{
    updatePeer(table, vm, [&](Peer& peer) { peer.backoffUntil = std::max(peer.backoffUntil, until); });
}

void pausePeer(PeerTable& table, const std::string& vm, Base::TimePoint until)
{
    updatePeer(table, vm, [&](Peer& peer) { peer.busyUntil = std::max(peer.busyUntil, until); });
}

void removeTransferProgress(PeerTable& table, const std::string& manifestDigest)
{
    std::vector<std::string> vms;
    table.peers.forEach([&](auto& vm, auto&) { vms.push_back(vm); });
    for (auto& vm : vms)
        updatePeer(table, vm, [&](Peer& peer) { peer.transfers.erase(manifestDigest); });
}

} // namespace Lavenderloft::Weights::Commands
