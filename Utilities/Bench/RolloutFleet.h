#pragma once

#include "Base/SystemClock.h"
#include "Bench/FaultyPeerClient.h"
#include "Bench/RolloutLinks.h"
#include "Bench/RolloutModel.h"
#include "Bench/RolloutRoundTrips.h"
#include "Bench/RolloutStore.h"
#include "Process/WeightNode.h"

#include <memory>
#include <vector>

namespace Lavenderloft::Bench {

struct FleetShape {
    unsigned replicas = 3;
    unsigned regions = 1;
    unsigned dataCentresPerRegion = 1;
    LinkRates rates { 1e9, 1e9, 1e9 };
    uint64_t seed = 1;
    uint64_t weightMemoryBytes = 1ull << 30;
    // Each replica knows of no other and fetches everything from the origin.
    bool originOnly = false;
};

// Several WeightNodes in one process, each with its own gRPC server on loopback, and a weight store. Replicas are
// spread over the regions in turn; the store is near the first region.
class RolloutFleet {
public:
    explicit RolloutFleet(const FleetShape&);
    ~RolloutFleet();

    void addModel(const Model&);

    // Lets every live replica want these manifests and nothing else.
    void setWanted(const std::vector<std::string>& digests);
    void setWanted(const std::vector<Weights::WantedManifest>&);

    // The same for one replica.
    void setWantedAt(unsigned replica, const std::vector<Weights::WantedManifest>&);

    // Waits until every live replica holds the manifest; false after the limit, which only ends a hang.
    bool waitUntilComplete(const std::string& digest, std::chrono::milliseconds limit);

    // Waits until the predicate holds.
    bool waitUntil(const std::function<bool()>&, std::chrono::milliseconds limit);

    // Shuts down the replica's server and node, as if its VM had died.
    void kill(unsigned replica);

    // Takes a dead replica out of the list of members.
    void removeMember(unsigned replica);

    unsigned size() const;
    bool isAlive(unsigned replica) const;
    Process::WeightNode& node(unsigned replica);
    std::string vm(unsigned replica) const;
    std::string region(unsigned replica) const;
    static std::string regionName(unsigned);

    // Whether every chunk that live replicas hold of the model has the right bytes, and all are held.
    bool holdsExactly(unsigned replica, const Model&);

    FaultPlan& faults() { return *m_faults; }
    RolloutStore& store() { return *m_store; }
    RolloutLinks& links() { return *m_links; }
    const RolloutRoundTrips& roundTrips() const { return *m_roundTrips; }

private:
    struct Members;
    struct Replica;

    // Lets the members list say what the replica wants.
    void publishWanted(unsigned replica, const std::vector<Weights::WantedManifest>&);
    void addReplica(const FleetShape&, unsigned index);

    Base::SystemClock m_clock;
    std::shared_ptr<RolloutLinks> m_links;
    std::shared_ptr<FaultPlan> m_faults;
    std::shared_ptr<RolloutRoundTrips> m_roundTrips;
    std::shared_ptr<Members> m_members;
    std::unique_ptr<RolloutStore> m_store;
    std::vector<std::unique_ptr<Replica>> m_replicas;
};

} // namespace Lavenderloft::Bench
