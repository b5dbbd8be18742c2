#pragma once

#include "CommandLine/Command.h"
#include "CommandLine/OptionTable.h"
#include "Http/HttpMessage.h"

namespace Lavenderloft::Standin::Subcommands {

using CommandLine::ExitCode;
using CommandLine::OptionTable;

// A subcommand of lavenderloft-standin whose arguments are options only.
class Subcommand : public CommandLine::Command {
public:
    std::string argumentSynopsis() const override { return "[OPTIONS]"; }

    // Parses the options and runs; prints errors to the standard error stream.
    ExitCode run(const std::vector<std::string>& arguments) final;

protected:
    virtual void addOptions(OptionTable&) = 0;

    // May throw std::runtime_error or std::invalid_argument, which end the program with exit code 1.
    virtual ExitCode runWithOptions() = 0;
};

// Throws std::invalid_argument that names the option.
Http::Endpoint endpointOption(const std::string& option, const std::string& value);

// Prints that a server is ready, which scripts wait for.
void printReady(const std::string& host, uint16_t port);

} // namespace Lavenderloft::Standin::Subcommands
