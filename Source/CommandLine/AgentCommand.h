#pragma once

#include "CommandLine/AgentRunner.h"
#include "CommandLine/Command.h"

#include <memory>

namespace Lavenderloft::CommandLine {

// Runs the process beside a target.
class AgentCommand final : public Command {
public:
    explicit AgentCommand(std::unique_ptr<AgentRunner>);

    std::string name() const override { return "agent"; }
    std::string argumentSynopsis() const override { return "--settings FILE"; }
    std::string summary() const override { return "Run the agent beside a target VM's model engine or plain service."; }
    ExitCode run(const std::vector<std::string>& arguments) override;

private:
    std::unique_ptr<AgentRunner> m_runner;
};

} // namespace Lavenderloft::CommandLine
