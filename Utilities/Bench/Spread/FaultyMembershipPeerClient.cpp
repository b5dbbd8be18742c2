#include "Bench/Spread/FaultyMembershipPeerClient.h"

namespace Lavenderloft::Bench::Spread {

void NetworkFaults::setPartition(std::set<std::string> addresses)
{
    std::lock_guard guard(m_lock);
    m_partitioned = std::move(addresses);
}

bool NetworkFaults::arePartitioned(const std::string& a, const std::string& b) const
{
    std::lock_guard guard(m_lock);
    return m_partitioned.count(a) != m_partitioned.count(b);
}

FaultyMembershipPeerClient::FaultyMembershipPeerClient(Membership::PeerClient& client, const NetworkFaults& faults, Base::RandomSource& random)
    : m_client(client)
    , m_faults(faults)
    , m_random(random)
{
}

void FaultyMembershipPeerClient::exchange(const std::string& address, const Membership::GossipMessage& message, std::chrono::milliseconds timeout, ExchangeCallback callback)
{
    if (isCallLost(address))
        return callback(std::nullopt);
    m_client.exchange(address, message, timeout, std::move(callback));
}

void FaultyMembershipPeerClient::fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback callback)
{
    if (isCallLost(address))
        return callback(std::nullopt);
    m_client.fetchDocument(address, heldDigest, timeout, std::move(callback));
}

bool FaultyMembershipPeerClient::isCallLost(const std::string& address)
{
    return m_faults.arePartitioned(m_ownAddress, address) || m_random.nextFraction() < m_faults.lossRate.load();
}

} // namespace Lavenderloft::Bench::Spread
