#pragma once

#include "Admission/PermitTable.h"

namespace Lavenderloft::Admission::Commands {

// Ends a running attempt in the state Complete, Broken, or NotRun if the target was never reached, and frees its slot.
void completeRequest(PermitTable&, const std::string& attemptId, AttemptState, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
