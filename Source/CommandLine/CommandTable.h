#pragma once

#include "CommandLine/Command.h"

#include <memory>
#include <vector>

namespace Lavenderloft::CommandLine {

// All subcommands of the program.
std::vector<std::unique_ptr<Command>> makeCommands();

// Runs the subcommand that the arguments name and returns the exit code of the program.
int runCommand(int argc, char** argv);

} // namespace Lavenderloft::CommandLine
