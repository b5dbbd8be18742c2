#pragma once

namespace Lavenderloft::Standin {

// Runs the subcommand that the arguments name and returns the exit code of the program.
int runSubcommand(int argc, char** argv);

} // namespace Lavenderloft::Standin
