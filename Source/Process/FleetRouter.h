#pragma once

#include "Process/NodePlatform.h"

namespace Lavenderloft::Process {

// Serves callers on a node of a platform until SIGTERM. Throws std::runtime_error if an address is taken.
void runFleetRouter(const Fleet::NodeSettings&, const NodePlatform&);

} // namespace Lavenderloft::Process
