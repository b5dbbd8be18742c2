#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench {

// Measures a router's latency for small requests and its throughput on two processors. Agents, router and load
// generator are separate processes.
class LoadBench final : public CommandLine::Command {
public:
    std::string name() const override { return "load"; }
    std::string argumentSynopsis() const override { return "[--seconds N] [--connections N] [--rate N] [--seed N] [--log 0|1] [--parts N]"; }
    std::string summary() const override { return "Latency of small requests through a router and its throughput on two processors."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
