#pragma once

#include "Admission/PermitTable.h"

namespace Lavenderloft::Admission::Commands {

// Ends a running attempt and releases its slot. The state is Complete, Broken, or NotRun if the target was not reached.
void completeRequest(PermitTable&, const std::string& attemptId, AttemptState, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
