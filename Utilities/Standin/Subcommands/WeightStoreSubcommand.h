#pragma once

#include "Standin/Subcommands/ServerSubcommand.h"
#include "Standin/WeightStore.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a WeightStore until a stop signal.
class WeightStoreSubcommand final : public ServerSubcommand<WeightStore, WeightStoreOptions> {
public:
    std::string name() const override { return "weight-store"; }
    std::string summary() const override { return "Serve generated models"; }

protected:
    void addServerOptions(OptionTable&) override;
    void prepare(WeightStore&) override;

private:
    std::vector<std::string> m_models;
};

} // namespace Lavenderloft::Standin::Subcommands
