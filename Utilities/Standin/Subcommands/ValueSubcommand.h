#pragma once

#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Prints one value of a JSON file, for scripts without jq.
class ValueSubcommand final : public Subcommand {
public:
    std::string name() const override { return "value"; }
    std::string summary() const override { return "Print one value of a JSON file"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_file;
    std::string m_pointer;
};

} // namespace Lavenderloft::Standin::Subcommands
