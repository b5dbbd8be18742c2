#pragma once

#include "CommandLine/Command.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Lavenderloft::CommandLine {

using CommandList = std::vector<std::unique_ptr<Command>>;

// Dispatches to the subcommands of a program and handles the options --help and --version.
class CommandTable {
public:
    CommandTable(std::string program, CommandList commands);

    // Runs the subcommand named by the arguments and returns the exit code of the program.
    int run(int argc, char** argv);

private:
    ExitCode dispatch(int argc, char** argv);
    ExitCode runNamed(const std::string& name, const std::vector<std::string>& arguments);
    void printHelp(std::ostream&) const;

    const std::string m_program;
    CommandList m_commands;
};

} // namespace Lavenderloft::CommandLine
