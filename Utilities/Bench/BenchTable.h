#pragma once

#include "CommandLine/CommandTable.h"

// The benchmarks and the check of their regression bounds, each a subcommand of lavenderloft-bench.
namespace Lavenderloft::Bench {

CommandLine::CommandList makeBenchmarks();

} // namespace Lavenderloft::Bench
