#pragma once

#include "Base/RandomSource.h"
#include "Base/Result.h"
#include "Routing/LiveRequest.h"
#include "Routing/RoutingError.h"

namespace Lavenderloft::Routing::Queries {

// Deadline of a request without X-Deadline-Ms, and the longest that a caller may ask for.
inline constexpr std::chrono::milliseconds defaultDeadline { 30000 };
inline constexpr std::chrono::milliseconds maximumDeadline { 600000 };

// Organisation of a request without X-Organisation.
inline constexpr std::string_view defaultOrganisation = "default";

// Longest X-Organisation and Idempotency-Key in bytes.
inline constexpr size_t maximumNameBytes = 128;

// Times at which a request is read.
struct ReadTime {
    Base::TimePoint now;
    Base::WallTime wallTime;
};

// Finds the route of a request and reads its headers. The error's outcome is always 'not run'.
Base::Result<LiveRequest, RoutingError> readRequest(CallerRequest, const DesiredState::Document&, ReadTime, Base::RandomSource&);

} // namespace Lavenderloft::Routing::Queries
