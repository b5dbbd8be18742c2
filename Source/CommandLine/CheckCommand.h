#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::CommandLine {

// Validates a desired state or the settings of a process.
class CheckCommand final : public Command {
public:
    std::string name() const override { return "check"; }
    std::string argumentSynopsis() const override { return "FILE"; }
    std::string summary() const override { return "Check a desired state or, with --settings, the settings of a process, and print all problems."; }
    ExitCode run(const std::vector<std::string>& arguments) override;

private:
    static ExitCode checkDesiredState(const std::string& path);
    static ExitCode checkSettingsFile(const std::string& path);
};

} // namespace Lavenderloft::CommandLine
