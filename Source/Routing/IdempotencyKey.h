#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"

#include <string>

namespace Lavenderloft::Routing {

// Generates a UUID version 7. Its timestamp lets an agent verify that the key was issued after the agent
// started.
std::string makeIdempotencyKey(Base::WallTime, Base::RandomSource&);

} // namespace Lavenderloft::Routing
