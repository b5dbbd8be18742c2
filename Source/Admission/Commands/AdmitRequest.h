#pragma once

#include "Admission/AdmissionContext.h"
#include "Admission/Commands/ReserveKey.h"
#include "Admission/TargetState.h"
#include "Base/RandomSource.h"

#include <variant>

namespace Lavenderloft::Admission::Commands {

// The request was queued. Its waiter is called later.
struct Queued { };

using AdmissionResult = std::variant<Permit, Queued, StoredResponsePointer, Refusal>;

// Grants a permit, queues the request, returns the stored response of an earlier call with the same key, or refuses.
AdmissionResult admitRequest(TargetState&, const AdmissionContext&, const AdmissionRequest&, std::shared_ptr<Waiter>, const Base::Clock&, Base::RandomSource&);

// Grants free slots to queued requests.
void grantWaiting(TargetState&, const Base::Clock&, Base::RandomSource&);

} // namespace Lavenderloft::Admission::Commands
