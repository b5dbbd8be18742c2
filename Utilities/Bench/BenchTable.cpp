#include "Bench/BenchTable.h"

namespace Lavenderloft::Bench {

std::vector<std::unique_ptr<CommandLine::Command>> makeBenchmarks()
{
    std::vector<std::unique_ptr<CommandLine::Command>> commands;
    return commands;
}

} // namespace Lavenderloft::Bench
