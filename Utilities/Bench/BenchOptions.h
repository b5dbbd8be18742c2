#pragma once

#include "CommandLine/Command.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// A whole-number option of a benchmark.
struct BenchOption {
    const char* name;
    int* value;
    const char* description;
};

// Reads "--name number" options. Gives the exit code if help was asked for or an option is wrong.
std::optional<CommandLine::ExitCode> parseOptions(const CommandLine::Command&, const std::vector<std::string>& arguments, const std::vector<BenchOption>&);

} // namespace Lavenderloft::Bench
