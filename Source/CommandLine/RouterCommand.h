#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Runs the router on an entry VM.
class RouterCommand final : public Command {
public:
    std::string name() const override { return "router"; }
    std::string argumentSynopsis() const override { return "--settings FILE"; }
    std::string summary() const override { return "Run the router on an entry VM."; }
    ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::CommandLine
