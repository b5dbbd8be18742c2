#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Runs the agent beside the model engine or plain service of a target VM.
class AgentCommand final : public Command {
public:
    std::string name() const override { return "agent"; }
    std::string argumentSynopsis() const override { return "--settings FILE"; }
    std::string summary() const override { return "Run the agent beside the model engine or plain service of a target VM."; }
    ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::CommandLine
