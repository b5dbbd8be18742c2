#pragma once

#include "CommandLine/Command.h"

namespace Lavenderloft::Bench {

// Prints the comparison of permits with router-side limits, and the time per permit.
class PermitsBench final : public CommandLine::Command {
public:
    std::string name() const override { return "permits"; }
    std::string argumentSynopsis() const override { return ""; }
    std::string summary() const override { return "Peak load of a cold target with permits and with router-side limits; time per permit."; }
    CommandLine::ExitCode run(const std::vector<std::string>& arguments) override;
};

} // namespace Lavenderloft::Bench
