#pragma once

#include "Settings/ProcessSettings.h"

namespace Lavenderloft::Process {

// Composes an agent from its settings and serves until it is told to stop and all running requests have
// ended. Throws std::runtime_error with the setting at fault.
void runAgent(const Settings::ProcessSettings&);

} // namespace Lavenderloft::Process
