#include "Bench/RolloutRoundTrips.h"

#include <algorithm>

namespace Lavenderloft::Bench {

void RolloutRoundTrips::add(Base::Duration roundTrip)
{
    std::lock_guard guard(m_lock);
    m_roundTrips.push_back(roundTrip);
}

RoundTripSummary RolloutRoundTrips::summarise() const
{
    auto sorted = all();
    if (sorted.empty())
        return {};
    std::sort(sorted.begin(), sorted.end());
    return { sorted[(sorted.size() - 1) * 99 / 100], sorted.back() };
}

std::vector<Base::Duration> RolloutRoundTrips::all() const
{
    std::lock_guard guard(m_lock);
    return m_roundTrips;
}

TimingPeerClient::TimingPeerClient(std::shared_ptr<Weights::PeerClient> client, std::shared_ptr<RolloutRoundTrips> roundTrips, const Base::Clock& clock)
    : m_client(std::move(client))
    , m_roundTrips(std::move(roundTrips))
    , m_clock(clock)
{
}

void TimingPeerClient::getHoldings(const Weights::Participant& peer, const std::string& manifestDigest, Weights::HoldingsCallback callback)
{
    m_client->getHoldings(peer, manifestDigest, [roundTrips = m_roundTrips, &clock = m_clock, requestedAt = m_clock.now(), callback = std::move(callback)](const auto& result) {
        roundTrips->add(clock.now() - requestedAt);
        callback(result);
    });
}

void TimingPeerClient::getManifest(const Weights::Participant& peer, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback callback)
{
    m_client->getManifest(peer, manifestDigest, timeout, std::move(callback));
}

std::shared_ptr<Weights::ChunkFetch> TimingPeerClient::fetchChunk(const Weights::Participant& peer, const Weights::ChunkRequest& request, std::shared_ptr<Weights::ChunkSink> sink)
{
    return m_client->fetchChunk(peer, request, std::move(sink));
}

} // namespace Lavenderloft::Bench
