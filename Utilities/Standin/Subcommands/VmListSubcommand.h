#pragma once

#include "Standin/Subcommands/Subcommand.h"
#include "Standin/VmList.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a VmList until a stop signal.
class VmListSubcommand final : public Subcommand {
public:
    std::string name() const override { return "vm-list"; }
    std::string summary() const override { return "Serve the list of VMs"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_listen = "127.0.0.1:0";
    VmListOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
