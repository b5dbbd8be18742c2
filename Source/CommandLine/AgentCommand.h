#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Runs the process beside a target VM's model engine or plain service.
class AgentCommand final : public Command {
public:
    std::string name() const override { return "agent"; }
    std::string argumentSynopsis() const override { return "--settings FILE"; }
    std::string summary() const override { return "Run the agent beside a target VM's model engine or plain service."; }
    ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::CommandLine
