#pragma once

#include "CommandLine/CommandTable.h"
#include "Process/NodePlatform.h"

namespace Lavenderloft::CommandLine {

// Creates the subcommands that need no platform.
CommandList makeProgramCommands();

// Adds the subcommands that need a platform. The platform must outlive them.
void addNodeCommands(CommandList&, const Process::NodePlatform&);

} // namespace Lavenderloft::CommandLine
