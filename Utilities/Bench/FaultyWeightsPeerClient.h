#pragma once

#include "Weights/PeerClient.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Lavenderloft::Bench {

// Faults to inject, shared by all peer clients of a fleet.
class FaultPlan {
public:
    // Inverts the first byte of every part of a chunk that the VM sends.
    void corruptChunksFrom(const std::string& vm);

    // Drops the chunks that the VM sends; its other calls succeed.
    void stallChunksFrom(const std::string& vm);

    // Makes the VM report that it holds every chunk.
    void claimAllChunksHeldBy(const std::string& vm);

    // Fails all calls between the region and the others.
    void partitionRegion(const std::string& region);
    void healPartition();

    // Fails requests for a manifest whose timeout is shorter.
    void setManifestTransferTime(std::chrono::milliseconds);

    bool isCorrupt(const std::string& vm) const;
    bool isStalled(const std::string& vm) const;
    bool claimsAllChunksHeld(const std::string& vm) const;
    std::chrono::milliseconds manifestTransferTime() const;
    bool arePartitioned(const std::string& from, const std::string& to) const;

private:
    mutable std::mutex m_lock;
    std::set<std::string> m_corrupt;
    std::set<std::string> m_stalled;
    std::set<std::string> m_claimingAllChunks;
    std::string m_partitionedRegion;
    std::chrono::milliseconds m_manifestTransferTime { 0 };
};

// Injects the faults of a FaultPlan into the calls of another client for weights.
class FaultyWeightsPeerClient final : public Weights::PeerClient {
public:
    FaultyWeightsPeerClient(std::shared_ptr<Weights::PeerClient>, std::shared_ptr<const FaultPlan>, std::string ownRegion);

    void getHoldings(const Weights::Participant&, const std::string& manifestDigest, Weights::HoldingsCallback) override;
    void getManifest(const Weights::Participant&, const std::string& manifestDigest, std::chrono::milliseconds timeout, Weights::ManifestCallback) override;
    std::shared_ptr<Weights::ChunkFetch> fetchChunk(const Weights::Participant&, const Weights::ChunkRequest&, std::shared_ptr<Weights::ChunkSink>) override;

private:
    std::shared_ptr<Weights::PeerClient> m_client;
    std::shared_ptr<const FaultPlan> m_plan;
    std::string m_ownRegion;
};

} // namespace Lavenderloft::Bench
