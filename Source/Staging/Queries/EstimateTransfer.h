#pragma once

#include "Base/Clock.h"
#include "Fleet/NodeSettings.h"
#include "Staging/DesiredWeights.h"

#include <cstdint>

namespace Lavenderloft::Staging::Queries {

// Time to send the bytes over a link. Zero if the bandwidth is unknown.
Base::Duration transferTime(uint64_t bytes, double bitsPerSecond);

// Shortest time in which every agent can receive all pieces: each piece crosses the origin's link once, and each agent's
// link at least once.
Base::Duration shortestDistribution(const DesiredWeights&, const Fleet::NodeSettings&);

// When a piece may be requested from the origin, which serves the version since `start`. The agents request the pieces in
// the order of their numbers, at the rate of the origin's link, so that the first ones can be passed on while the others
// follow, and no request waits long there.
Base::TimePoint originTurn(const DesiredWeights&, unsigned piece, Base::TimePoint start);

// When the agent that fetches a piece from the origin is likely to have it.
Base::TimePoint expectedArrival(const DesiredWeights&, unsigned piece, Base::TimePoint start);

// When the agent that fetches the piece for its region is likely to have it.
Base::TimePoint expectedRelay(const DesiredWeights&, unsigned piece, Base::TimePoint start);

} // namespace Lavenderloft::Staging::Queries
