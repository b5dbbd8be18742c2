#pragma once

#include "CommandLine/Command.h"
#include "Settings/ProcessSettings.h"

#include <functional>

namespace Lavenderloft::CommandLine {

// Reads the settings file given with --settings, configures logging and runs the process until it is told to stop.
// Invalid settings and errors at startup are printed to standard error.
ExitCode serve(const Command&, const std::vector<std::string>& arguments, const std::function<void(const Settings::ProcessSettings&)>& run);

} // namespace Lavenderloft::CommandLine
