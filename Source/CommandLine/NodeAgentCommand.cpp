#include "CommandLine/NodeAgentCommand.h"

#include "CommandLine/ServeNode.h"
#include "Process/FleetAgent.h"

namespace Lavenderloft::CommandLine {

NodeAgentCommand::NodeAgentCommand(const Process::NodePlatform& platform)
    : m_platform(platform)
{
}

ExitCode NodeAgentCommand::run(const std::vector<std::string>& arguments)
{
    return serveNode(*this, arguments, m_platform, Process::runFleetAgent);
}

} // namespace Lavenderloft::CommandLine
