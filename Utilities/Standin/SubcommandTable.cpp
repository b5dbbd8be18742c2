#include "Standin/SubcommandTable.h"

#include "Standin/Subcommands/ConfigurationSubcommand.h"
#include "Standin/Subcommands/EngineSubcommand.h"
#include "Standin/Subcommands/FreePortsSubcommand.h"
#include "Standin/Subcommands/LoadSubcommand.h"
#include "Standin/Subcommands/RequestSubcommand.h"
#include "Standin/Subcommands/ServiceSubcommand.h"
#include "Standin/Subcommands/ValueSubcommand.h"
#include "Standin/Subcommands/VmListSubcommand.h"
#include "Standin/Subcommands/WeightStoreSubcommand.h"

#include <iostream>
#include <memory>

namespace Lavenderloft::Standin {

using namespace Subcommands;

namespace {

    using SubcommandList = std::vector<std::unique_ptr<Subcommand>>;

    SubcommandList makeSubcommands()
    {
        SubcommandList subcommands;
        subcommands.push_back(std::make_unique<ConfigurationSubcommand>());
        subcommands.push_back(std::make_unique<VmListSubcommand>());
        subcommands.push_back(std::make_unique<WeightStoreSubcommand>());
        subcommands.push_back(std::make_unique<EngineSubcommand>());
        subcommands.push_back(std::make_unique<ServiceSubcommand>());
        subcommands.push_back(std::make_unique<LoadSubcommand>());
        subcommands.push_back(std::make_unique<RequestSubcommand>());
        subcommands.push_back(std::make_unique<ValueSubcommand>());
        subcommands.push_back(std::make_unique<FreePortsSubcommand>());
        return subcommands;
    }

    void printHelp(std::ostream& output, const SubcommandList& subcommands)
    {
        output << "Usage: lavenderloft-standin SUBCOMMAND [OPTIONS]\n\nSubcommands:\n";
        for (auto& subcommand : subcommands)
            output << "  " << subcommand->name() << "\n      " << subcommand->summary() << '\n';
        output << "\nEach subcommand explains its options with --help.\n";
    }

} // namespace

int runSubcommand(int argc, char** argv)
{
    auto subcommands = makeSubcommands();
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h") {
        printHelp(arguments.empty() ? std::cerr : std::cout, subcommands);
        return static_cast<int>(arguments.empty() ? ExitCode::Usage : ExitCode::Success);
    }
    for (auto& subcommand : subcommands) {
        if (subcommand->name() == arguments[0])
            return static_cast<int>(subcommand->run({ arguments.begin() + 1, arguments.end() }));
    }
    std::cerr << "lavenderloft-standin: no subcommand is named \"" << arguments[0] << "\"; see lavenderloft-standin --help\n";
    return static_cast<int>(ExitCode::Usage);
}

} // namespace Lavenderloft::Standin
