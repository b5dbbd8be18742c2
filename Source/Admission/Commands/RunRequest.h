#pragma once

#include "Admission/Commands/ReserveKey.h"
#include "Admission/TargetState.h"

namespace Lavenderloft::Admission::Commands {

// Uses up the permit of a request whose body has arrived, and marks its key, if it has one, as running.
Base::Result<Base::Done, Refusal> startRequest(TargetState&, const AdmissionRequest&, const std::string& permitId, const Base::Clock&);

// How the run of a request ended.
struct RunResult {
    // Complete, Broken, or NotRun if the target was never reached.
    AttemptState state = AttemptState::Complete;
    // Whether the target answered without an error of its own; only such answers let the limit grow.
    bool isSuccess = true;
    // To be kept for a call that has a key; may be null.
    StoredResponsePointer response;
};

// Ends a request that ran, or that never reached the target.
void finishRequest(TargetState&, const AdmissionRequest&, const RunResult&, const Base::Clock&);

// Withdraws a request that has not started: its place in the queue, its permit and its key.
void withdrawAttempt(TargetState&, const AdmissionRequest&, const Base::Clock&);

// Revokes permits and refuses waiting requests whose time is over, ends the limit's window and forgets old records.
void expireRecords(TargetState&, std::chrono::milliseconds resendWindow, const Base::Clock&);

// Takes over what the engine's poll told: adjusts the limits and, when the incarnation or the digest
// changed or the engine turned cold or ended its service, revokes all permits. Returns the fingerprints
// of requests that ran when the incarnation changed.
std::vector<uint64_t> applyEngineCondition(TargetState&, const EngineCondition&, const Base::Clock&);

// Revokes every permit that is not used yet and frees the keys, after a pause or a change of the engine.
void invalidatePermits(TargetState&, const Base::Clock&);

// Copies the limit in force to the slots.
void applyLimit(TargetState&);

} // namespace Lavenderloft::Admission::Commands
