#pragma once

#include "Base/Clock.h"
#include "Weights/PeerClient.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <vector>

namespace Lavenderloft::Bench {

struct RoundTripSummary {
    std::chrono::duration<double, std::milli> p99 { 0 };
    std::chrono::duration<double, std::milli> maximum { 0 };
};

// Round-trip times of the holdings requests of all agents in a fleet. Thread-safe.
class RolloutRoundTrips {
public:
    void add(Base::Duration);
    RoundTripSummary summarise() const;
    std::vector<Base::Duration> all() const;

private:
    mutable std::mutex m_lock;
    std::vector<Base::Duration> m_roundTrips;
};

// Records the round-trip times of the holdings requests of another peer client. The clock must outlive it.
class TimingPeerClient final : public Weights::PeerClient {
public:
    TimingPeerClient(std::shared_ptr<Weights::PeerClient>, std::shared_ptr<RolloutRoundTrips>, const Base::Clock&);

    void getHoldings(const Weights::Participant&, const std::string& manifestDigest, Weights::HoldingsCallback) override;
    void getManifest(const Weights::Participant&, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback) override;
    std::shared_ptr<Weights::ChunkFetch> fetchChunk(const Weights::Participant&, const Weights::ChunkRequest&, std::shared_ptr<Weights::ChunkSink>) override;

private:
    std::shared_ptr<Weights::PeerClient> m_client;
    std::shared_ptr<RolloutRoundTrips> m_roundTrips;
    const Base::Clock& m_clock;
};

} // namespace Lavenderloft::Bench
