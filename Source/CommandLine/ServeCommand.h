#pragma once

#include "CommandLine/Command.h"
#include "Settings/ProcessSettings.h"

#include <functional>

namespace Lavenderloft::CommandLine {

// Reads the settings that the arguments name, sets up the log and serves until the process is told to
// stop. What the settings or the machine do not allow is printed on standard error.
ExitCode serve(const Command&, const std::vector<std::string>& arguments, const std::function<void(const Settings::ProcessSettings&)>& run);

} // namespace Lavenderloft::CommandLine
