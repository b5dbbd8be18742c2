#pragma once

#include "Standin/ConfigurationService.h"
#include "Standin/Subcommands/ServerSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a ConfigurationService until a stop signal.
class ConfigurationSubcommand final : public ServerSubcommand<ConfigurationService, ConfigurationOptions> {
public:
    std::string name() const override { return "configuration"; }
    std::string summary() const override { return "Serve the configuration service"; }

protected:
    void addServerOptions(OptionTable&) override;
};

} // namespace Lavenderloft::Standin::Subcommands
