#pragma once

#include "Standin/Subcommands/Subcommand.h"

namespace Lavenderloft::Standin::Subcommands {

// Sends one HTTP request and prints the body or one value of its JSON, for scripts without curl and jq.
class RequestSubcommand final : public Subcommand {
public:
    std::string name() const override { return "request"; }
    std::string summary() const override { return "Send one HTTP request and print the body; exit code 1 unless the status is 2xx"; }

protected:
    void addOptions(OptionTable&) override;
    ExitCode runWithOptions() override;

private:
    std::string m_address;
    std::string m_method = "GET";
    std::string m_target = "/";
    std::string m_body;
    std::string m_bodyFile;
    std::string m_pointer;
    std::vector<std::string> m_headers;
    std::chrono::milliseconds m_timeout { 5000 };
};

} // namespace Lavenderloft::Standin::Subcommands
