#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Records that the first part of the response to a request has arrived, which was assigned to the target and sent at these
// times.
void recordFirstPart(DispatchState&, const std::string& service, const std::string& targetId, Base::TimePoint assignedAt, Base::TimePoint sentAt, Base::TimePoint now);

// Records that the request will get no response from the target.
void recordUnanswered(DispatchState&, const std::string& service, const std::string& targetId, Base::TimePoint assignedAt);

// Records the longest pause within a response.
void recordLongestPause(DispatchState&, const std::string& service, Base::Duration, Base::TimePoint now);

// Records that an attempt at the target passed its silence limit. A target that is repeatedly silent gets no requests for
// some time, while other targets of the service respond.
void recordSilence(DispatchState&, const std::string& service, const std::string& targetId, Base::TimePoint now);

// Records that such an attempt has received a part of the response: the target is slow and not lost.
void recordEndOfSilence(DispatchState&, const std::string& service, const std::string& targetId);

} // namespace Lavenderloft::Dispatch::Commands
