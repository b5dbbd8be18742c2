#include "CommandLine/RouterCommand.h"

#include "CommandLine/ServeCommand.h"
#include "Process/RouterLauncher.h"

namespace Lavenderloft::CommandLine {

ExitCode RouterCommand::run(const std::vector<std::string>& arguments)
{
    return serve(*this, arguments, Process::runRouter);
}

} // namespace Lavenderloft::CommandLine
