#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Queries one process for its view of the fleet and prints it.
class StatusCommand final : public Command {
public:
    std::string name() const override { return "status"; }
    std::string argumentSynopsis() const override { return "--address IP:PORT [--settings FILE | --tls-certificate FILE --tls-key FILE --tls-authority FILE] [--json]"; }
    std::string summary() const override { return "Show the fleet as one process sees it."; }
    ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::CommandLine
