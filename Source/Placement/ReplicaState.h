#pragma once

// Placement decides which agent serves which pool and drives the engine to that state: fetch, wait for permission
// to switch, load, confirm. Each agent decides locally, from the document and its view of the members.

#include "Membership/Member.h"

#include <memory>

namespace Lavenderloft::Placement {

// Events of the replica's state machine.
enum class ReplicaEvent {
    // Other weights are wanted.
    Wanted,
    // No weights are wanted any longer.
    Released,
    // All chunks are held and verified.
    Fetched,
    // The replica claims the right to switch.
    Claimed,
    // The claim is withdrawn because another replica has claimed as well.
    Withdrawn,
    // The engine serves the wanted weights.
    Confirmed,
    // The engine no longer serves the wanted weights, or the chunks are no longer held.
    Drifted,
    Failed,
    Retried,
};

// State machine of the replica on this VM.
class ReplicaState {
public:
    ReplicaState();
    ~ReplicaState();
    ReplicaState(ReplicaState&&) noexcept;
    ReplicaState& operator=(ReplicaState&&) noexcept;

    Membership::ReplicaPhase phase() const;

    // Processes an event. Returns false if the event has no effect in the current phase.
    bool apply(ReplicaEvent);

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Lavenderloft::Placement
