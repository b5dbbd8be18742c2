#pragma once

#include "CommandLine/Command.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Lavenderloft::CommandLine {

using CommandList = std::vector<std::unique_ptr<Command>>;

// The subcommands of a program, beside the options --help and --version.
class CommandTable {
public:
    // The program's name, as users type it.
    CommandTable(std::string program, CommandList commands);

    // Runs the subcommand that the arguments name and returns the exit code of the program.
    int run(int argc, char** argv);

private:
    ExitCode dispatch(int argc, char** argv);
    ExitCode runNamed(const std::string& name, const std::vector<std::string>& arguments);
    void printHelp(std::ostream&) const;

    const std::string m_program;
    CommandList m_commands;
};

} // namespace Lavenderloft::CommandLine
