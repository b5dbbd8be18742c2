#pragma once

#include "CommandLine/CommandTable.h"

namespace Lavenderloft::Standin {

// The subcommands of the program lavenderloft-standin.
CommandLine::CommandList makeStandinCommands();

} // namespace Lavenderloft::Standin
