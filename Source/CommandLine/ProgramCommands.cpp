#include "CommandLine/ProgramCommands.h"

#include "CommandLine/AgentCommand.h"
#include "CommandLine/CheckCommand.h"
#include "CommandLine/DiffCommand.h"
#include "CommandLine/NodeAgentCommand.h"
#include "CommandLine/NodeRouterCommand.h"
#include "CommandLine/RouterCommand.h"
#include "CommandLine/StatusCommand.h"

namespace Lavenderloft::CommandLine {

CommandList makeProgramCommands()
{
    CommandList commands;
    commands.push_back(std::make_unique<AgentCommand>());
    commands.push_back(std::make_unique<CheckCommand>());
    commands.push_back(std::make_unique<DiffCommand>());
    commands.push_back(std::make_unique<RouterCommand>());
    commands.push_back(std::make_unique<StatusCommand>());
    return commands;
}

void addNodeCommands(CommandList& commands, const Process::NodePlatform& platform)
{
    commands.push_back(std::make_unique<NodeAgentCommand>(platform));
    commands.push_back(std::make_unique<NodeRouterCommand>(platform));
}

} // namespace Lavenderloft::CommandLine
