#include "Process/AgentLauncher.h"

#include "Process/AgentComposition.h"

namespace Lavenderloft::Process {

void runAgent(const Settings::ProcessSettings& settings)
{
    AgentComposition(settings).run();
}

} // namespace Lavenderloft::Process
