#include "CommandLine/AgentCommand.h"

#include "CommandLine/ServeCommand.h"
#include "Process/AgentLauncher.h"

namespace Lavenderloft::CommandLine {

ExitCode AgentCommand::run(const std::vector<std::string>& arguments)
{
    return serve(*this, arguments, Process::runAgent);
}

} // namespace Lavenderloft::CommandLine
