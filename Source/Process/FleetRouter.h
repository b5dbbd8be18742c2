#pragma once

#include "Process/NodePlatform.h"

namespace Lavenderloft::Process {

// Runs a router on a node of a platform until SIGTERM. Throws std::runtime_error if an address is in use.
void runFleetRouter(const Fleet::NodeSettings&, const NodePlatform&);

} // namespace Lavenderloft::Process
