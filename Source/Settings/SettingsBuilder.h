#pragma once

#include "Base/Result.h"
#include "Settings/ProcessSettings.h"
#include "Json/Problem.h"

#include <string>
#include <vector>

namespace Lavenderloft::Settings {

// Makes settings in code, with the same checks as a settings file. Fields that are not set keep the
// defaults of ProcessSettings.
class SettingsBuilder {
public:
    // Name and place of the VM.
    SettingsBuilder& vm(std::string name, std::string region, std::string dataCentre);

    // Where the process listens for the system's other processes and for operators.
    SettingsBuilder& listen(std::string inner, std::string admin);

    // Makes the process a router that listens for callers here.
    SettingsBuilder& callers(std::string address);

    // Makes the process the agent of a model engine.
    SettingsBuilder& modelEngine(std::string endpoint);

    // Makes the process the agent of a plain service.
    SettingsBuilder& plainService(std::string name, std::string endpoint);

    // The platform's services; the weight store is needed by agents of model engines only.
    SettingsBuilder& platform(std::string configurationService, std::string vmList, std::string weightStore = {});

    SettingsBuilder& peers(std::vector<std::string> addresses);
    SettingsBuilder& weightMemoryBytes(uint64_t);
    SettingsBuilder& streamBudgetBytes(uint64_t);

    // Speed of the link to other regions and the share of it that rollouts may use, from 0 to 1.
    SettingsBuilder& interRegionLink(uint64_t bitsPerSecond, double rolloutShare);

    // Connections between processes: either mutual TLS, or plain text between loopback addresses.
    SettingsBuilder& tls(TlsSettings);
    SettingsBuilder& plainTextOnLoopback();

    SettingsBuilder& log(Observability::Level, Observability::Layout);

    // The settings, or all that is wrong with them; pointers are those of a settings file.
    Base::Result<ProcessSettings, Json::CheckError> build() const;

private:
    ProcessSettings m_settings;
};

} // namespace Lavenderloft::Settings
