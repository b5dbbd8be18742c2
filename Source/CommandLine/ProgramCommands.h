#pragma once

#include "CommandLine/CommandTable.h"

namespace Lavenderloft::CommandLine {

// The subcommands of the program lavenderloft.
CommandList makeProgramCommands();

} // namespace Lavenderloft::CommandLine
