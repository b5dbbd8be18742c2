#include "Standin/StandinCommands.h"

#include "Standin/Subcommands/ConfigurationSubcommand.h"
#include "Standin/Subcommands/EngineSubcommand.h"
#include "Standin/Subcommands/FreePortsSubcommand.h"
#include "Standin/Subcommands/LoadSubcommand.h"
#include "Standin/Subcommands/RequestSubcommand.h"
#include "Standin/Subcommands/ServiceSubcommand.h"
#include "Standin/Subcommands/ValueSubcommand.h"
#include "Standin/Subcommands/VmListSubcommand.h"
#include "Standin/Subcommands/WeightStoreSubcommand.h"

namespace Lavenderloft::Standin {

using namespace Subcommands;

CommandLine::CommandList makeStandinCommands()
{
    CommandLine::CommandList commands;
    commands.push_back(std::make_unique<ConfigurationSubcommand>());
    commands.push_back(std::make_unique<VmListSubcommand>());
    commands.push_back(std::make_unique<WeightStoreSubcommand>());
    commands.push_back(std::make_unique<EngineSubcommand>());
    commands.push_back(std::make_unique<ServiceSubcommand>());
    commands.push_back(std::make_unique<LoadSubcommand>());
    commands.push_back(std::make_unique<RequestSubcommand>());
    commands.push_back(std::make_unique<ValueSubcommand>());
    commands.push_back(std::make_unique<FreePortsSubcommand>());
    return commands;
}

} // namespace Lavenderloft::Standin
