#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Shows the consequences of replacing one desired state by another.
class DiffCommand final : public Command {
public:
    std::string name() const override { return "diff"; }
    std::string argumentSynopsis() const override { return "OLD NEW"; }
    std::string summary() const override { return "Print the consequences of publishing the desired state NEW in place of OLD; refuse unsafe steps."; }
    ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::CommandLine
