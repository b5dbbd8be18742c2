#pragma once

#include "Standin/LoadGenerator.h"
#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Sends requests until the time has passed or a stop signal arrives, and prints the summary as JSON.
class LoadSubcommand final : public Subcommand {
public:
    std::string name() const override { return "load"; }
    std::string summary() const override { return "Send requests through routers and validate every response; exit code 1 if an invariant is violated"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::vector<std::string> m_routers;
    std::chrono::milliseconds m_time { 10000 };
    std::string m_reportFile;
    uint64_t m_callers = 8;
    uint64_t m_tokens = 32;
    uint64_t m_promptBytes = 0;
    LoadOptions m_options;
};

} // namespace Lavenderloft::Standin::Subcommands
