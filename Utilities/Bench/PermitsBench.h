#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench {

// Prints the comparison of permits with limits kept by routers, and what a permit costs.
class PermitsBench final : public CommandLine::Command {
public:
    std::string name() const override { return "permits"; }
    std::string argumentSynopsis() const override { return ""; }
    std::string summary() const override { return "Load on a cold target with permits and with router-side limits; cost of a permit."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
