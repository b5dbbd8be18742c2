#pragma once

#include "CommandLine/Command.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// An integer command-line option.
struct BenchOption {
    const char* name;
    int* value;
    const char* description;
};

// Parses "--name number" options. Returns an exit code if help was requested or an option is invalid.
std::optional<CommandLine::ExitCode> parseOptions(const CommandLine::Command&, const std::vector<std::string>& arguments, const std::vector<BenchOption>&);

} // namespace Lavenderloft::Bench
