#pragma once

#include "Admission/AdmissionRequest.h"
#include "Admission/PermitTable.h"
#include "Admission/Refusal.h"
#include "Base/RandomSource.h"

namespace Lavenderloft::Admission::Commands {

// Acquires a slot for the attempt and returns its permit. Refuses with AtLimit if no slot is free, and with
// PermitExpired if the attempt was revoked before its request arrived.
Base::Result<Permit, Refusal> grantPermit(PermitTable&, const AdmissionRequest&, const Base::Clock&, Base::RandomSource&);

} // namespace Lavenderloft::Admission::Commands
