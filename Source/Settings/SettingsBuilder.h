#pragma once

#include "Base/Result.h"
#include "Settings/ProcessSettings.h"
#include "Json/Problem.h"

#include <string>
#include <vector>

namespace Lavenderloft::Settings {

// Builds settings programmatically, with the same validation as for settings files. Fields that are not set have the
// defaults of ProcessSettings.
class SettingsBuilder {
public:
    SettingsBuilder& vm(std::string name, std::string region, std::string dataCentre);

    // Addresses on which the process listens for other processes and for administrators.
    SettingsBuilder& listen(std::string inner, std::string admin);

    // Configures a router that accepts callers on this address.
    SettingsBuilder& callers(std::string address);

    // Configures an agent for a model engine.
    SettingsBuilder& modelEngine(std::string endpoint);

    // Configures an agent for a plain service.
    SettingsBuilder& plainService(std::string name, std::string endpoint);

    // Addresses of the platform's services. Only agents for model engines require the weight store.
    SettingsBuilder& platform(std::string configurationService, std::string vmList, std::string weightStore = {});

    SettingsBuilder& peers(std::vector<std::string> addresses);
    SettingsBuilder& weightMemoryBytes(uint64_t);
    SettingsBuilder& streamBudgetBytes(uint64_t);

    // Bandwidth of the link to other regions, and the fraction of it that rollouts may use, in (0, 1].
    SettingsBuilder& interRegionLink(uint64_t bitsPerSecond, double rolloutShare);

    // Exactly one of these is required: mutual TLS, or plain text between loopback addresses.
    SettingsBuilder& tls(TlsSettings);
    SettingsBuilder& plainTextOnLoopback();

    SettingsBuilder& log(Observability::Level, Observability::Layout);

    // Returns the settings or all problems found; JSON pointers refer to the equivalent settings file.
    Base::Result<ProcessSettings, Json::CheckError> build() const;

private:
    ProcessSettings m_settings;
};

} // namespace Lavenderloft::Settings
