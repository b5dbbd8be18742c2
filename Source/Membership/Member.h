#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Membership {

enum class Role {
    Router,
    Agent,
};

// The order is significant: of two reports with the same incarnation and version, the greater status wins.
enum class Status {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

enum class ReplicaPhase {
    Idle,
    Fetching,
    // The weights are complete; the replica waits for permission to load them.
    Waiting,
    Loading,
    Ready,
    Failed,
};

// Load of a target as reported by its agent.
struct TargetLoad {
    unsigned running = 0;
    unsigned limit = 0;
    unsigned queued = 0;
    uint64_t heldBytes = 0;
    bool accepting = false;

    bool operator==(const TargetLoad&) const = default;
};

// State of one pool or plain service on a target, as reported by its agent.
struct Replica {
    // Name of the pool or plain service.
    std::string pool;
    // Digest of the manifest that the engine has loaded; empty for a plain service.
    std::string servingDigest;
    std::string wantedDigest;
    ReplicaPhase phase = ReplicaPhase::Idle;
    unsigned chunksHeld = 0;
    unsigned chunksTotal = 0;
    // Why the replica is not ready yet, for operators.
    std::string reason;
    // Digests of the adapters that are loaded in addition to the base model.
    std::vector<std::string> adapters;

    bool operator==(const Replica&) const = default;
};

// Record of one process, written by the process itself.
struct Member {
    std::string vm;
    // IP:port on which other processes reach this one.
    std::string address;
    std::string dataCentre;
    std::string region;
    Role role = Role::Router;
    Status status = Status::Alive;
    // Increases with each start of the process.
    uint64_t incarnation = 0;
    // Whether the record is complete; false if it holds only the shared part, as for members of other data centres.
    bool hasDetail = true;
    // Incremented by the member with each announced change; zero if hasDetail is false.
    uint64_t version = 0;
    // Incremented by the member with each change of the shared part.
    uint64_t sharedVersion = 0;
    // Revision of the desired state that is active on the member.
    uint64_t revision = 0;
    TargetLoad load;
    std::vector<Replica> replicas;
    // Why the latest document was refused; empty if it was accepted.
    std::string refusedDocument;

    bool operator==(const Member&) const = default;

    // The part of the record that is sent to other data centres: identity, address, location, role, status and
    // incarnation, and for each replica the pool, the loaded digest and adapters, and whether it is loading
    // or has failed. All other fields have their default values.
    Member sharedPart() const;
};

} // namespace Lavenderloft::Membership
