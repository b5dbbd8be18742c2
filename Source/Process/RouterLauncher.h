#pragma once

#include "Settings/ProcessSettings.h"

namespace Lavenderloft::Process {

// Runs a router until a stop is requested and all running requests have ended, or the drain limit is reached.
// Throws std::runtime_error that names the invalid setting.
void runRouter(const Settings::ProcessSettings&);

} // namespace Lavenderloft::Process
