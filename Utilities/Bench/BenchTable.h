#pragma once

#include "CommandLine/CommandTable.h"

// Benchmarks with regression bounds; each is a subcommand of lavenderloft-bench.
namespace Lavenderloft::Bench {

CommandLine::CommandList makeBenchmarks();

} // namespace Lavenderloft::Bench
