#pragma once

#include "Standin/Subcommands/Subcommand.h"
#include "Standin/WeightStore.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a WeightStore until a stop signal.
class WeightStoreSubcommand final : public Subcommand {
public:
    std::string name() const override { return "weight-store"; }
    std::string summary() const override { return "Serve generated models"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_listen = "127.0.0.1:0";
    std::vector<std::string> m_models;
    WeightStoreOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
