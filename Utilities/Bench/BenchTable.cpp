#include "Bench/BenchTable.h"

#include "Bench/BoundsCommand.h"
#include "Bench/LoadBench.h"
#include "Bench/PermitsBench.h"
#include "Bench/RolloutCommand.h"
#include "Bench/SlowReadersBench.h"
#include "Bench/Spread/SpreadCommand.h"
#include "Bench/ZoneLeaveBench.h"

namespace Lavenderloft::Bench {

CommandLine::CommandList makeBenchmarks()
{
    CommandLine::CommandList commands;
    commands.push_back(std::make_unique<LoadBench>());
    commands.push_back(std::make_unique<PermitsBench>());
    commands.push_back(std::make_unique<RolloutCommand>());
    commands.push_back(std::make_unique<SlowReadersBench>());
    commands.push_back(std::make_unique<Spread::SpreadCommand>());
    commands.push_back(std::make_unique<ZoneLeaveBench>());
    commands.push_back(std::make_unique<BoundsCommand>());
    return commands;
}

} // namespace Lavenderloft::Bench
