#pragma once

#include "Settings/ProcessSettings.h"

namespace Lavenderloft::Process {

// Runs an agent until a stop is requested and all running requests have ended. Throws std::runtime_error that
// names the invalid setting.
void runAgent(const Settings::ProcessSettings&);

} // namespace Lavenderloft::Process
