#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench {

// Compares benchmark reports with a bounds file: a JSON array of objects with the benchmark's name, a JSON
// pointer into its report and "max" or "min". The bounds are the performance targets, not earlier results.
class BoundsCommand final : public CommandLine::Command {
public:
    std::string name() const override { return "bounds"; }
    std::string argumentSynopsis() const override { return "BOUNDS REPORT..."; }
    std::string summary() const override { return "Compares JSON reports of benchmarks with a bounds file; exit code 1 if a value is out of bounds."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
