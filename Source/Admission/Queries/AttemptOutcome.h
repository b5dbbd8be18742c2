#pragma once

#include "Admission/PermitTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Admission::Queries {

// Outcome of an attempt, with the numbers of the protocol.
enum class AttemptOutcome {
    // The attempt has not run and will not run.
    NotRun = 1,
    Running = 2,
    Complete = 3,
    Unknown = 4,
};

// Outcome of an attempt whose permit was granted by the agent with the given incarnation. Must be called after
// revokePermit, so that an attempt reported as not run cannot start later.
AttemptOutcome attemptOutcome(const PermitTable&, const std::string& attemptId, uint64_t agentIncarnation);

// Fingerprints of the requests that are running or broke off at or after the given time.
std::vector<uint64_t> fingerprintsRunningSince(const PermitTable&, Base::TimePoint);

} // namespace Lavenderloft::Admission::Queries
