#pragma once

#include "CommandLine/CommandTable.h"
#include "Process/NodePlatform.h"

namespace Lavenderloft::CommandLine {

// The subcommands of the program lavenderloft.
CommandList makeProgramCommands();

// Adds the subcommands that run on a platform.
void addNodeCommands(CommandList&, const Process::NodePlatform&);

} // namespace Lavenderloft::CommandLine
