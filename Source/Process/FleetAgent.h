#pragma once

#include "Process/NodePlatform.h"

namespace Lavenderloft::Process {

// Runs the agent for the engine on the same VM until SIGTERM. Throws std::runtime_error if an address is in use.
void runFleetAgent(const Fleet::NodeSettings&, const NodePlatform&);

} // namespace Lavenderloft::Process
