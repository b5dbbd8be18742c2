#pragma once

#include "CommandLine/Command.h"
#include "Process/NodePlatform.h"

namespace Lavenderloft::CommandLine {

// Runs the agent beside an engine on a VM of a platform, with settings that the platform provides.
class NodeAgentCommand final : public Command {
public:
    explicit NodeAgentCommand(const Process::NodePlatform&);

    std::string name() const override { return "node-agent"; }
    std::string argumentSynopsis() const override { return ""; }
    std::string summary() const override { return "Run the agent beside an engine on a VM of a platform."; }
    ExitCode run(const std::vector<std::string>& arguments) override;

private:
    const Process::NodePlatform& m_platform;
};

} // namespace Lavenderloft::CommandLine
