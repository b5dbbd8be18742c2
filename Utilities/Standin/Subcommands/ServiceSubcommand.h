#pragma once

#include "Standin/PlainService.h"
#include "Standin/Subcommands/ServerSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a PlainService until a stop signal.
class ServiceSubcommand final : public ServerSubcommand<PlainService, PlainServiceOptions> {
public:
    std::string name() const override { return "service"; }
    std::string summary() const override { return "Serve a plain service that counts executions"; }

protected:
    void addServerOptions(OptionTable&) override;
};

} // namespace Lavenderloft::Standin::Subcommands
