#include "Bench/RolloutCommand.h"

#include <iostream>
#include <memory>

using namespace Lavenderloft;

namespace {

// A new benchmark is added here.
std::vector<std::unique_ptr<CommandLine::Command>> makeCommands()
{
    std::vector<std::unique_ptr<CommandLine::Command>> commands;
    commands.push_back(std::make_unique<Bench::RolloutCommand>());
    return commands;
}

void printHelp(std::ostream& output, const std::vector<std::unique_ptr<CommandLine::Command>>& commands)
{
    output << "Usage: lavenderloft-bench BENCHMARK [OPTIONS]\n\nBenchmarks:\n";
    for (auto& command : commands)
        output << "  " << command->name() << ' ' << command->argumentSynopsis() << "\n      " << command->summary() << '\n';
    output << "\nExit codes: 0 success, 1 a bound was exceeded, 2 usage.\n";
}

} // namespace

int main(int argc, char** argv)
{
    auto commands = makeCommands();
    std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h") {
        printHelp(std::cout, commands);
        return static_cast<int>(CommandLine::ExitCode::Success);
    }
    for (auto& command : commands) {
        if (command->name() == name)
            return static_cast<int>(command->run(std::vector<std::string>(argv + 2, argv + argc)));
    }
    printHelp(std::cerr, commands);
    return static_cast<int>(CommandLine::ExitCode::Usage);
}
