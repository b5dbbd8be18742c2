#pragma once

#include "Admission/AdmissionContext.h"
#include "Admission/Commands/ReserveKey.h"
#include "Admission/TargetState.h"
#include "Base/RandomSource.h"

#include <variant>

namespace Lavenderloft::Admission::Commands {

// The request waits; its waiter is called.
struct Queued { };

using AdmissionResult = std::variant<Permit, Queued, StoredResponsePointer, Refusal>;

// Decides on a request: a permit, a place in the queue, the stored answer of the same call, or a refusal.
AdmissionResult admitRequest(TargetState&, const AdmissionContext&, const AdmissionRequest&, std::shared_ptr<Waiter>, const Base::Clock&, Base::RandomSource&);

// Grants free slots to requests that wait, each in its turn.
void grantWaiting(TargetState&, const Base::Clock&, Base::RandomSource&);

} // namespace Lavenderloft::Admission::Commands
