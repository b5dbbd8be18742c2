#pragma once

// Placement decides which agent serves which pool and brings the engine there: fetch, wait for the turn
// to switch, load, confirm. Each agent decides for itself, from the document and the members it knows.

#include "Membership/Member.h"

#include <memory>

namespace Lavenderloft::Placement {

// What happens to a replica.
enum class ReplicaEvent {
    // Other weights are wanted.
    Wanted,
    // No weights are wanted any more.
    Released,
    // All chunks are held and verified.
    Fetched,
    // The replica claims the right to switch.
    Claimed,
    // Another replica has claimed as well; the claim is given up.
    Withdrawn,
    // The engine serves the wanted weights.
    Confirmed,
    // The engine no longer serves the wanted weights, or the chunks are no longer held.
    Drifted,
    Failed,
    Retried,
};

// Life cycle of the replica on this VM, as a state machine.
class ReplicaState {
public:
    ReplicaState();
    ~ReplicaState();
    ReplicaState(ReplicaState&&) noexcept;
    ReplicaState& operator=(ReplicaState&&) noexcept;

    Membership::ReplicaPhase phase() const;

    // Processes an event; false if it has no effect in the present phase.
    bool apply(ReplicaEvent);

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Lavenderloft::Placement
