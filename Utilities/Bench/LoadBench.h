#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench {

// Measures what a router adds to small requests: the time at the median, and requests a second on two
// processors. Agents, router and load are processes of their own.
class LoadBench final : public CommandLine::Command {
public:
    std::string name() const override { return "load"; }
    std::string argumentSynopsis() const override { return "[--seconds N] [--connections N] [--rate N] [--seed N] [--log 0|1] [--parts N]"; }
    std::string summary() const override { return "Router overhead at the median and small requests a second on two processors."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
