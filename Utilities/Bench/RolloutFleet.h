#pragma once

#include "Base/SystemClock.h"
#include "Bench/FaultyWeightsPeerClient.h"
#include "Bench/RolloutLinks.h"
#include "Bench/RolloutModel.h"
#include "Bench/RolloutRoundTrips.h"
#include "Bench/RolloutStore.h"
#include "Process/WeightNode.h"

#include <memory>
#include <optional>
#include <vector>

namespace Lavenderloft::Bench {

struct FleetShape {
    unsigned replicas = 3;
    unsigned regions = 1;
    unsigned dataCentresPerRegion = 1;
    LinkRates rates { 1e9, 1e9, 1e9 };
    uint64_t seed = 1;
    uint64_t weightMemoryBytes = 1ull << 30;
    // Hides the replicas from each other, so that each fetches all chunks from the origin.
    bool originOnly = false;
};

// The replicas of a fleet that run in this process, and what the processes share.
struct FleetPart {
    unsigned firstReplica = 0;
    unsigned replicas = 0;
    std::shared_ptr<RolloutLinks> links;
    std::string storeAddress;
};

// Several WeightNodes in one process, each with its own gRPC server on loopback, and a weight store. Replicas are
// assigned to the regions round-robin; the store is in the first region.
class RolloutFleet {
public:
    explicit RolloutFleet(const FleetShape&);

    // A part of a fleet, whose weight store and other replicas are in other processes. Replicas are numbered from the
    // first of the part.
    RolloutFleet(const FleetShape&, const FleetPart&);
    ~RolloutFleet();

    static std::shared_ptr<RolloutLinks> makeLinks(const FleetShape&);

    // Adds replicas of other processes to the membership.
    void addMembers(const std::vector<Membership::Member>&);

    // The member of a replica of this process.
    const Membership::Member& member(unsigned replica) const;

    void addModel(const Model&);

    // Replaces the set of manifests that every live replica must hold.
    void setWanted(const std::vector<std::string>& digests);
    void setWanted(const std::vector<Weights::WantedManifest>&);

    // Replaces the set of one replica.
    void setWantedAt(unsigned replica, const std::vector<Weights::WantedManifest>&);

    // Waits until every live replica holds all chunks of the manifest; returns false on time-out.
    bool waitUntilComplete(const std::string& digest, std::chrono::milliseconds limit);

    // Polls the predicate until it is true; returns false on time-out.
    bool waitUntil(const std::function<bool()>&, std::chrono::milliseconds limit);

    // Shuts down the replica's server and node, but leaves its membership entry, as when its VM fails.
    void kill(unsigned replica);

    // Removes the replica's membership entry.
    void removeMember(unsigned replica);
    void removeMember(const std::string& vm);

    unsigned size() const;
    bool isAlive(unsigned replica) const;
    Process::WeightNode& node(unsigned replica);
    std::string vm(unsigned replica) const;
    std::string region(unsigned replica) const;
    static std::string vmName(unsigned replicaOfFleet);
    static std::string regionName(unsigned);

    // Whether the replica holds every chunk of the model with the correct content.
    bool holdsExactly(unsigned replica, const Model&);

    FaultPlan& faults() { return *m_faults; }
    // Must not be called for a part of a fleet.
    RolloutStore& store() { return *m_store; }
    RolloutLinks& links() { return *m_links; }
    const RolloutRoundTrips& roundTrips() const { return *m_roundTrips; }

private:
    struct Members;
    struct Replica;

    // Publishes the wanted manifests of one replica, or of all, in the membership.
    void publishWanted(const std::optional<std::string>& vm, const std::vector<Weights::WantedManifest>&);
    void addReplica(const FleetShape&, unsigned replicaOfFleet, const std::string& storeAddress);

    Base::SystemClock m_clock;
    std::shared_ptr<RolloutLinks> m_links;
    std::shared_ptr<FaultPlan> m_faults;
    std::shared_ptr<RolloutRoundTrips> m_roundTrips;
    std::shared_ptr<Members> m_members;
    std::unique_ptr<RolloutStore> m_store;
    std::vector<std::unique_ptr<Replica>> m_replicas;
};

} // namespace Lavenderloft::Bench
