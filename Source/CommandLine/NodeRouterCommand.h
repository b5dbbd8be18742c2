#pragma once

#include "CommandLine/Command.h"
#include "Process/NodePlatform.h"

namespace Lavenderloft::CommandLine {

// Runs the router on an entry VM of a platform, with settings that the platform provides.
class NodeRouterCommand final : public Command {
public:
    explicit NodeRouterCommand(const Process::NodePlatform&);

    std::string name() const override { return "node-router"; }
    std::string argumentSynopsis() const override { return ""; }
    std::string summary() const override { return "Run the router on an entry VM of a platform."; }
    ExitCode run(const std::vector<std::string>& arguments) override;

private:
    const Process::NodePlatform& m_platform;
};

} // namespace Lavenderloft::CommandLine
