#pragma once

#include "Standin/ConfigurationService.h"
#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a ConfigurationService until a stop signal.
class ConfigurationSubcommand final : public Subcommand {
public:
    std::string name() const override { return "configuration"; }
    std::string summary() const override { return "Serve the configuration service"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_listen = "127.0.0.1:0";
    ConfigurationOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
