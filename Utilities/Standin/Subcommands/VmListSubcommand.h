#pragma once

#include "Standin/Subcommands/ServerSubcommand.h"
#include "Standin/VmList.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a VmList until a stop signal.
class VmListSubcommand final : public ServerSubcommand<VmList, VmListOptions> {
public:
    std::string name() const override { return "vm-list"; }
    std::string summary() const override { return "Serve the list of VMs"; }

protected:
    void addServerOptions(OptionTable&) override;
};

} // namespace Lavenderloft::Standin::Subcommands
