#pragma once

#include "Standin/ModelEngine.h"
#include "Standin/Subcommands/ServerSubcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Runs a ModelEngine until a stop signal.
class EngineSubcommand final : public ServerSubcommand<ModelEngine, EngineOptions> {
public:
    std::string name() const override { return "engine"; }
    std::string summary() const override { return "Serve a model engine"; }

protected:
    void addServerOptions(OptionTable&) override;
    void completeOptions() override;

private:
    bool m_ignoreFence = false;
    uint64_t m_maximumBatch = 16;
    uint64_t m_coldLimit = 2;
};

} // namespace Lavenderloft::Standin::Subcommands
