#pragma once

#include "Admission/IdempotencyKeyTable.h"
#include "Admission/Refusal.h"
#include "DesiredState/Document.h"

#include <optional>
#include <variant>

namespace Lavenderloft::Admission::Commands {

using StoredResponsePointer = std::shared_ptr<const StoredResponse>;

// Result of a repeated call: the stored response of the earlier call, or a refusal.
using Replay = std::variant<StoredResponsePointer, Refusal>;

// Looks up an earlier call with the same key. Returns std::nullopt if there is no record.
std::optional<Replay> findReplay(const IdempotencyKeyTable&, const AdmissionRequest&);

// Reserves the key of a call for its attempt, or returns the reason why the call may not run on this VM.
Base::Result<Base::Done, Refusal> reserveKey(IdempotencyKeyTable&, const AdmissionRequest&, std::chrono::milliseconds resendWindow, const Base::Clock&);

// Updates the VMs of the service. If they have changed, keys that may have been used at an earlier home are refused
// from now on.
void updateHomes(IdempotencyKeyTable&, const DesiredState::Service&, const Base::Clock&);

// Releases the key of an attempt that did not run.
void releaseKey(IdempotencyKeyTable&, const AdmissionRequest&);

// Releases the key with the given name if it is still reserved by the attempt.
void releaseReservation(IdempotencyKeyTable&, const std::string& name, const std::string& attemptId);

// Marks the key as running. Returns false if the attempt no longer holds the reservation.
bool markKeyRunning(IdempotencyKeyTable&, const AdmissionRequest&);

// Records how a running call ended. The response, if given, is stored if it fits within the limits.
void recordKeyOutcome(IdempotencyKeyTable&, const AdmissionRequest&, KeyState, StoredResponsePointer, const Base::Clock&);

// Removes calls that ended before the resend window.
void expireKeys(IdempotencyKeyTable&, std::chrono::milliseconds resendWindow, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
