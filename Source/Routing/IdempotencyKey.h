#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"

#include <string>

namespace Lavenderloft::Routing {

// A new key in the form of a UUID version 7, which carries its issue time, so that an agent can tell
// that it was first used after the agent started.
std::string makeIdempotencyKey(Base::WallTime, Base::RandomSource&);

} // namespace Lavenderloft::Routing
