#pragma once

#include "Admission/WaitingQueue.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Admission::Commands {

// Lets a request wait. When the queue is full, requests of lower classes are shed, the newest of the
// lowest class first; without any, the request itself is refused with AtLimit.
Base::Result<Base::Done, Refusal> queueRequest(WaitingQueue&, WaitingRequest);

// Removes the request whose turn it is: of the highest class, but one in twenty times of the lowest one that waits.
std::optional<WaitingRequest> takeNext(WaitingQueue&);

// Puts a request taken by takeNext back to the front of its organisation.
void putBack(WaitingQueue&, WaitingRequest);

// Removes the request of an attempt; false if it does not wait.
bool withdrawRequest(WaitingQueue&, const AdmissionRequest&);

// Refuses the requests that have waited too long.
void refuseOverdue(WaitingQueue&, Base::TimePoint now);

// Refuses all that wait, because the target takes on no more work.
void refuseAll(WaitingQueue&, const Refusal&);

} // namespace Lavenderloft::Admission::Commands
