#pragma once

#include "Admission/IdempotencyKeyTable.h"
#include "Admission/Refusal.h"
#include "DesiredState/Document.h"

#include <optional>
#include <variant>

namespace Lavenderloft::Admission::Commands {

using StoredResponsePointer = std::shared_ptr<const StoredResponse>;

// What a record says to a call that is sent again: the stored answer or a refusal; nothing if there is no record.
using KnownCall = std::variant<StoredResponsePointer, Refusal>;
std::optional<KnownCall> recallKey(const IdempotencyKeyTable&, const AdmissionRequest&);

// Reserves the key of a call for its attempt, or tells why the call may not run here.
Base::Result<Base::Done, Refusal> reserveKey(IdempotencyKeyTable&, const AdmissionRequest&, std::chrono::milliseconds resendWindow, const Base::Clock&);

// Takes over the VMs of the service. After a change of them the memory does not vouch for calls that an
// earlier home may have run.
void updateHomes(IdempotencyKeyTable&, const DesiredState::Service&, const Base::Clock&);

// Frees the key of an attempt that did not run.
void releaseKey(IdempotencyKeyTable&, const AdmissionRequest&);

// Frees the key with the given name if the attempt still holds it without running.
void releaseReservation(IdempotencyKeyTable&, const std::string& name, const std::string& attemptId);

// Notes that the attempt that reserved the key runs; false if it no longer holds the reservation.
bool startKey(IdempotencyKeyTable&, const AdmissionRequest&);

// Notes how the running call ended. The answer is kept if it is given and there is room for it.
void settleKey(IdempotencyKeyTable&, const AdmissionRequest&, KeyState, StoredResponsePointer, const Base::Clock&);

// Forgets calls that ended longer ago than the resend window.
void forgetKeys(IdempotencyKeyTable&, std::chrono::milliseconds resendWindow, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
