#pragma once

#include "Base/RandomSource.h"
#include "Membership/PeerClient.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace Lavenderloft::Bench::Spread {

// Partition and loss rate of the simulated network, shared by all nodes of a fleet.
struct NetworkFaults {
    // Fraction of the calls that fail.
    std::atomic<double> lossRate { 0 };

    // Partitions the given addresses from all others; an empty set heals the partition.
    void setPartition(std::set<std::string> addresses);
    bool arePartitioned(const std::string& a, const std::string& b) const;

private:
    mutable std::mutex m_lock;
    std::set<std::string> m_partitioned;
};

// Forwards calls to another membership client, or fails them according to NetworkFaults.
class FaultyMembershipPeerClient final : public Membership::PeerClient {
public:
    FaultyMembershipPeerClient(Membership::PeerClient&, const NetworkFaults&, Base::RandomSource&);

    void setOwnAddress(std::string address) { m_ownAddress = std::move(address); }

    void exchange(const std::string& address, const Membership::GossipMessage&, std::chrono::milliseconds timeout, ExchangeCallback) override;
    void fetchDocument(const std::string& address, const std::string& heldDigest, std::chrono::milliseconds timeout, DocumentCallback) override;

private:
    bool isCallLost(const std::string& address);

    Membership::PeerClient& m_client;
    const NetworkFaults& m_faults;
    Base::RandomSource& m_random;
    std::string m_ownAddress;
};

} // namespace Lavenderloft::Bench::Spread
