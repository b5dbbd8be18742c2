#pragma once

#include "CommandLine/Command.h"
#include "CommandLine/OptionTable.h"
#include "Http/HttpMessage.h"

namespace Lavenderloft::Standin::Subcommands {

using CommandLine::ExitCode;
using CommandLine::OptionTable;

// A subcommand of lavenderloft-standin that takes only options.
class Subcommand : public CommandLine::Command {
public:
    std::string argumentSynopsis() const override { return "[OPTIONS]"; }

    // Parses the options and runs; prints errors to the standard error stream.
    ExitCode run(const std::vector<std::string>& arguments) final;

protected:
    virtual void addOptions(OptionTable&) = 0;

    // May throw std::invalid_argument, which ends the program with exit code 2, or std::runtime_error, exit code 1.
    virtual ExitCode runWithOptions() = 0;
};

// Throws std::invalid_argument that names the option.
Http::Endpoint endpointOption(const std::string& option, const std::string& value);

// Prints the line that scripts wait for when a server is ready.
void printReady(const std::string& host, uint16_t port);

} // namespace Lavenderloft::Standin::Subcommands
