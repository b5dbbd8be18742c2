#pragma once

#include "Process/NodePlatform.h"

namespace Lavenderloft::Process {

// Looks after the engine on the same VM until SIGTERM. Throws std::runtime_error if an address is taken.
void runFleetAgent(const Fleet::NodeSettings&, const NodePlatform&);

} // namespace Lavenderloft::Process
