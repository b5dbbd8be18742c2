#pragma once

#include "Admission/WaitingQueue.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Admission::Commands {

// Queues a request; a resumed response is queued before the new requests of its class and organisation. If the queue is
// full, requests of lower classes are shed, starting with the newest of the lowest class, and for a resumed response also
// new requests of its class. If there are none, the request itself is refused with AtLimit.
Base::Result<Base::Done, Refusal> queueRequest(WaitingQueue&, WaitingRequest);

// Removes the next request. Every 20th request is taken from the lowest waiting class, all others from the highest.
std::optional<WaitingRequest> dequeueNext(WaitingQueue&);

// Returns a request obtained from dequeueNext to the front of its organisation's queue.
void requeue(WaitingQueue&, WaitingRequest);

// Removes the request of an attempt. Returns false if it is not queued.
bool withdrawRequest(WaitingQueue&, const AdmissionRequest&);

// Refuses requests whose maximum wait has elapsed.
void refuseExpired(WaitingQueue&, Base::TimePoint now);

// Refuses all queued requests when the target stops accepting requests.
void refuseAll(WaitingQueue&, const Refusal&);

} // namespace Lavenderloft::Admission::Commands
