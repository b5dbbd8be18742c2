#pragma once

#include "Bench/RolloutBenchmark.h"
#include "CommandLine/Command.h"

#include <optional>

namespace Lavenderloft::Bench {

// lavenderloft-bench rollout: measures the distribution of a model to a fleet.
class RolloutCommand final : public CommandLine::Command {
public:
    std::string name() const override { return "rollout"; }
    std::string argumentSynopsis() const override;
    std::string summary() const override { return "Distributes a model to replicas over loopback; baseline every replica reading from the origin."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;

private:
    // Returns an exit code if help was requested or an option is invalid.
    std::optional<CommandLine::ExitCode> parse(const std::vector<std::string>& arguments);
    RolloutMeasurement measureBaseline() const;
    void printTable(const RolloutMeasurement&, const RolloutMeasurement* baseline) const;
    bool writeJson(const RolloutMeasurement&, const RolloutMeasurement* baseline) const;
    CommandLine::ExitCode checkBounds(const RolloutMeasurement&) const;

    RolloutOptions m_options;
    bool m_withBaseline = true;
    std::string m_jsonPath;
    std::string m_boundsPath;
};

} // namespace Lavenderloft::Bench
