#pragma once

#include "Http/HttpClient.h"
#include "Process/ConfigurationSource.h"

namespace Lavenderloft::Process {

// Reads the configuration service and the VM list over HTTP.
class HttpConfigurationSource final : public ConfigurationSource {
public:
    HttpConfigurationSource(Http::Endpoint configurationService, Http::Endpoint vmList);

    Base::Result<std::optional<std::string>, SourceError> read(uint64_t afterRevision, std::chrono::milliseconds wait) override;
    Base::Result<std::vector<ListedVm>, SourceError> listVms() override;
    void shutDown() override { m_client.shutDown(); }

private:
    Http::Endpoint m_configurationService;
    Http::Endpoint m_vmList;
    Http::HttpClient m_client;
};

} // namespace Lavenderloft::Process
