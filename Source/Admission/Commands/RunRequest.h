#pragma once

#include "Admission/Commands/ReserveKey.h"
#include "Admission/TargetState.h"

namespace Lavenderloft::Admission::Commands {

// Consumes the permit of a request whose body has arrived, and marks its key, if any, as running.
Base::Result<Base::Done, Refusal> startRequest(TargetState&, const AdmissionRequest&, const std::string& permitId, const Base::Clock&);

// Result of running a request.
struct RunResult {
    // Complete, Broken, or NotRun if the target was not reached.
    AttemptState state = AttemptState::Complete;
    // Whether the target responded without an error. Only such responses can raise the limit.
    bool isSuccess = true;
    // Response to store for a call with a key; may be null.
    StoredResponsePointer response;
};

// Ends a request that ran or could not reach the target.
void finishRequest(TargetState&, const AdmissionRequest&, const RunResult&, const Base::Clock&);

// Withdraws a request that has not started, releasing its place in the queue, its permit and its key.
void withdrawAttempt(TargetState&, const AdmissionRequest&, const Base::Clock&);

// Revokes expired permits, refuses requests that waited too long, ends the limit's window and removes old records.
void expireRecords(TargetState&, std::chrono::milliseconds resendWindow, const Base::Clock&);

// Applies the result of an engine poll. Adjusts the limits, and revokes all unused permits if the incarnation or
// digest has changed or the engine has become cold or unusable. If the incarnation has changed, returns the
// fingerprints of the requests that were running.
std::vector<uint64_t> applyEngineCondition(TargetState&, const EngineCondition&, const Base::Clock&);

// Revokes all unused permits and releases their keys, after a pause or a change of the engine.
void invalidatePermits(TargetState&, const Base::Clock&);

// Applies the current limit to the occupancy.
void applyLimit(TargetState&);

} // namespace Lavenderloft::Admission::Commands
