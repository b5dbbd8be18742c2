#pragma once

#include "Base/RandomSource.h"
#include "Base/Result.h"
#include "Routing/LiveRequest.h"
#include "Routing/RoutingError.h"

namespace Lavenderloft::Routing::Queries {

// Deadline of a request without X-Deadline-Ms, and the maximum that X-Deadline-Ms may set.
inline constexpr std::chrono::milliseconds defaultDeadline { 30000 };
inline constexpr std::chrono::milliseconds maximumDeadline { 600000 };

// Organisation of a request without X-Organisation.
inline constexpr std::string_view defaultOrganisation = "default";

// Maximum length of X-Organisation and Idempotency-Key.
inline constexpr size_t maximumNameBytes = 128;

// Time of arrival on both clocks.
struct ArrivalTime {
    Base::TimePoint now;
    Base::WallTime wallTime;
};

// Finds the route of a request and parses its headers. The outcome of an error is always NotRun.
Base::Result<LiveRequest, RoutingError> readRequest(CallerRequest, const DesiredState::Document&, ArrivalTime, Base::RandomSource&);

} // namespace Lavenderloft::Routing::Queries
