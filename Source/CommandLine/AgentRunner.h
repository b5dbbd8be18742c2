#pragma once

#include "CommandLine/Command.h"

#include <string>

namespace Lavenderloft::CommandLine {

// Composes and runs an agent from its settings.
class AgentRunner {
public:
    virtual ~AgentRunner() = default;

    // Serves until the process is told to stop. Writes why to standard error if the settings are refused.
    virtual ExitCode run(const std::string& settingsFile) = 0;
};

} // namespace Lavenderloft::CommandLine
