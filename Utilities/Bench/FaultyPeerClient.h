#pragma once

#include "Weights/PeerClient.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Lavenderloft::Bench {

// Faults of a fleet, shared by all its peer clients.
class FaultPlan {
public:
    // Every chunk that the VM sends arrives with one wrong byte.
    void corruptChunksFrom(const std::string& vm);

    // Chunks that the VM sends never arrive, while it answers other calls.
    void stallChunksFrom(const std::string& vm);

    // The VM claims to hold every chunk.
    void claimAllChunksHeldBy(const std::string& vm);

    // Calls between the regions fail.
    void partitionRegion(const std::string& region);
    void healPartition();

    bool isCorrupt(const std::string& vm) const;
    bool isStalled(const std::string& vm) const;
    bool claimsAllChunksHeld(const std::string& vm) const;
    bool arePartitioned(const std::string& from, const std::string& to) const;

private:
    mutable std::mutex m_lock;
    std::set<std::string> m_corrupt;
    std::set<std::string> m_stalled;
    std::set<std::string> m_claimingAllChunks;
    std::string m_partitionedRegion;
};

// A peer client that suffers the faults of the plan.
class FaultyPeerClient final : public Weights::PeerClient {
public:
    FaultyPeerClient(std::shared_ptr<Weights::PeerClient>, std::shared_ptr<const FaultPlan>, std::string ownRegion);

    void getHoldings(const Weights::Participant&, const std::string& manifestDigest, Weights::HoldingsCallback) override;
    void getManifest(const Weights::Participant&, const std::string& manifestDigest, Weights::ManifestCallback) override;
    std::shared_ptr<Weights::ChunkFetch> fetchChunk(const Weights::Participant&, const Weights::ChunkRequest&, std::shared_ptr<Weights::ChunkSink>) override;

private:
    std::shared_ptr<Weights::PeerClient> m_client;
    std::shared_ptr<const FaultPlan> m_plan;
    std::string m_ownRegion;
};

} // namespace Lavenderloft::Bench
