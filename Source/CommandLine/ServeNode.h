#pragma once

#include "CommandLine/Command.h"
#include "Process/NodePlatform.h"

#include <functional>

namespace Lavenderloft::CommandLine {

using NodeProcess = std::function<void(const Fleet::NodeSettings&, const Process::NodePlatform&)>;

// Reads the settings from the platform, configures logging to standard output and runs the process until it is told
// to stop. Invalid settings and errors at startup are printed to standard error.
ExitCode serveNode(const Command&, const std::vector<std::string>& arguments, const Process::NodePlatform&, const NodeProcess&);

} // namespace Lavenderloft::CommandLine
