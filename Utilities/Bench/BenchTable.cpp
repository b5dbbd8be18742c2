#include "Bench/BenchTable.h"

#include "Bench/Spread/SpreadCommand.h"
#include "Bench/LoadBench.h"

namespace Lavenderloft::Bench {

std::vector<std::unique_ptr<CommandLine::Command>> makeBenchmarks()
{
    std::vector<std::unique_ptr<CommandLine::Command>> commands;
    commands.push_back(std::make_unique<Spread::SpreadCommand>());
    commands.push_back(std::make_unique<LoadBench>());
    return commands;
}

} // namespace Lavenderloft::Bench
