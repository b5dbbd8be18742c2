#pragma once

#include "Admission/AdmissionRequest.h"
#include "Admission/PermitTable.h"
#include "Admission/Refusal.h"
#include "Base/RandomSource.h"

namespace Lavenderloft::Admission::Commands {

// Takes a slot for the attempt and returns its permit, or refuses with AtLimit. An attempt that was
// revoked before its request arrived is refused.
Base::Result<Permit, Refusal> grantPermit(PermitTable&, const AdmissionRequest&, const Base::Clock&, Base::RandomSource&);

} // namespace Lavenderloft::Admission::Commands
