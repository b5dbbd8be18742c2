#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench::Spread {

// Measures the propagation of desired-state changes through a fleet of control planes.
class SpreadCommand final : public CommandLine::Command {
public:
    std::string name() const override { return "spread"; }
    std::string argumentSynopsis() const override { return "--nodes N [--data-centres D] [--seed S] [--changes C] [--pools P] [--fault loss|service-down|partition]"; }
    std::string summary() const override { return "Time and bytes until a change is in force in every process."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench::Spread
