#include "Bench/BenchTable.h"
#include "Transport/GrpcThreads.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace Lavenderloft;
    Transport::disableMutexDeadlockDetection();
    auto commands = Bench::makeBenchmarks();
    std::string name = argc > 1 ? argv[1] : "";
    for (auto& command : commands) {
        if (command->name() == name)
            return static_cast<int>(command->run({ argv + 2, argv + argc }));
    }
    auto& output = name == "--help" ? std::cout : std::cerr;
    output << "Usage: lavenderloft-bench BENCHMARK [OPTIONS]\n\nBenchmarks:\n";
    for (auto& command : commands)
        output << "  " << command->name() << ' ' << command->argumentSynopsis() << "\n      " << command->summary() << '\n';
    return name == "--help" ? 0 : static_cast<int>(CommandLine::ExitCode::Usage);
}
