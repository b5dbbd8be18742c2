#pragma once

#include "CommandLine/Command.h"

#include <memory>
#include <vector>

// Benchmarks with regression bounds; each is a subcommand of lavenderloft-bench.
namespace Lavenderloft::Bench {

std::vector<std::unique_ptr<CommandLine::Command>> makeBenchmarks();

} // namespace Lavenderloft::Bench
