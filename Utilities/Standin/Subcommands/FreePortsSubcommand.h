#pragma once

#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Prints TCP ports of 127.0.0.1 that are free, one a line. They lie below the range from which the
// operating system takes ports for outgoing connections, so that they stay free until they are used.
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
