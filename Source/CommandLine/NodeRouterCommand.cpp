#include "CommandLine/NodeRouterCommand.h"

#include "CommandLine/ServeNode.h"
#include "Process/FleetRouter.h"

namespace Lavenderloft::CommandLine {

NodeRouterCommand::NodeRouterCommand(const Process::NodePlatform& platform)
    : m_platform(platform)
{
}

ExitCode NodeRouterCommand::run(const std::vector<std::string>& arguments)
{
    return serveNode(*this, arguments, m_platform, Process::runFleetRouter);
}

} // namespace Lavenderloft::CommandLine
