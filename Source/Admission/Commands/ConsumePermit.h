#pragma once

#include "Admission/PermitTable.h"
#include "Admission/Refusal.h"

namespace Lavenderloft::Admission::Commands {

// Uses up the permit of an attempt whose body has arrived. After success the attempt runs; after a
// refusal it has not run and will not run.
Base::Result<Base::Done, Refusal> consumePermit(PermitTable&, const std::string& attemptId, const std::string& permitId, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
