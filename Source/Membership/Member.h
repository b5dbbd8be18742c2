#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Membership {

enum class Role {
    Router,
    Agent,
};

// Order matters: of two reports with one incarnation the later status wins.
enum class Status {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

enum class ReplicaPhase {
    Idle,
    Fetching,
    // The weights are complete; the replica waits until it may switch.
    Waiting,
    Loading,
    Ready,
    Failed,
};

// What an agent reports of its target's load.
struct TargetLoad {
    unsigned running = 0;
    unsigned limit = 0;
    unsigned queued = 0;
    uint64_t heldBytes = 0;
    bool accepting = false;

    bool operator==(const TargetLoad&) const = default;
};

// What an agent reports of a pool, or of a plain service, that its target serves.
struct Replica {
    // Name of the pool or service.
    std::string pool;
    // Digest of the manifest that the engine holds and serves; empty for a plain service.
    std::string servingDigest;
    std::string wantedDigest;
    ReplicaPhase phase = ReplicaPhase::Idle;
    unsigned chunksHeld = 0;
    unsigned chunksTotal = 0;
    // Why the replica is late, for operators.
    std::string reason;
    // Digests of the adapters that it serves beside the base model.
    std::vector<std::string> adapters;

    bool operator==(const Replica&) const = default;
};

// One process of the system, as it reports itself.
struct Member {
    std::string vm;
    // IP:port of the inner port.
    std::string address;
    std::string dataCentre;
    std::string region;
    Role role = Role::Router;
    Status status = Status::Alive;
    // Grows with each start of the process.
    uint64_t incarnation = 0;
    // Whether the record has more than the shared part. Records of members of other data centres have not.
    bool hasDetail = true;
    // Grows with each change that the member itself makes; zero without detail.
    uint64_t version = 0;
    // Grows only with changes of the shared part.
    uint64_t sharedVersion = 0;
    // Revision of the desired state in force there.
    uint64_t revision = 0;
    TargetLoad load;
    std::vector<Replica> replicas;
    // Reason why the newest document was refused; empty if none was.
    std::string refusedDocument;

    bool operator==(const Member&) const = default;

    // The part of the record that other data centres receive: identity, address, place, role, status and
    // incarnation, and for each replica the pool, the digest that it serves, and whether it is out of
    // service for loading or has failed. Every other field has its default.
    Member sharedPart() const;
};

} // namespace Lavenderloft::Membership
