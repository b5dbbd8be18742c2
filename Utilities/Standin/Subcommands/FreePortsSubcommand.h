#pragma once

#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Prints free TCP ports of 127.0.0.1, one per line. They are below the ephemeral port range, so that the operating
// system does not assign them to outgoing connections before they are used.
class FreePortsSubcommand final : public Subcommand {
public:
    std::string name() const override { return "free-ports"; }
    std::string summary() const override { return "Print free ports of 127.0.0.1"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    uint64_t m_count = 1;
};

} // namespace Lavenderloft::Standin::Subcommands
