#pragma once

#include "Standin/ModelEngine.h"
#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a ModelEngine until a stop signal.
class EngineSubcommand final : public Subcommand {
public:
    std::string name() const override { return "engine"; }
    std::string summary() const override { return "Serve a model engine"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_listen = "127.0.0.1:0";
    bool m_ignoreFence = false;
    uint64_t m_maximumBatch = 16;
    uint64_t m_coldLimit = 2;
    EngineOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
