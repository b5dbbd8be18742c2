#pragma once

#include "Standin/PlainService.h"
#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a PlainService until a stop signal.
class ServiceSubcommand final : public Subcommand {
public:
    std::string name() const override { return "service"; }
    std::string summary() const override { return "Serve a plain service that counts its runs"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_listen = "127.0.0.1:0";
    PlainServiceOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
