#pragma once

#include "Admission/PermitTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Admission::Queries {

// What became of an attempt, as far as it is certain. The numbers are those of the protocol.
enum class AttemptOutcome {
    // Certainly not run, and it will not run.
    NotRun = 1,
    Running = 2,
    Complete = 3,
    Unknown = 4,
};

// The outcome of an attempt that got its permit from the agent of the given incarnation. To be asked after revokePermit.
AttemptOutcome attemptOutcome(const PermitTable&, const std::string& attemptId, uint64_t agentIncarnation);

// Fingerprints of the requests that run, or that broke off after the given time.
std::vector<uint64_t> fingerprintsRunningSince(const PermitTable&, Base::TimePoint);

} // namespace Lavenderloft::Admission::Queries
