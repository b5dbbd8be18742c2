#pragma once

#include "Admission/PermitTable.h"
#include "Admission/Refusal.h"

namespace Lavenderloft::Admission::Commands {

// Consumes the permit of an attempt whose body has arrived. On success, the attempt is running. After a refusal,
// it has not run and will not run.
Base::Result<Base::Done, Refusal> consumePermit(PermitTable&, const std::string& attemptId, const std::string& permitId, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
