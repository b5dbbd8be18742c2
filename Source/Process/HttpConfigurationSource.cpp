#include "Process/HttpConfigurationSource.h"

#include "Json/BoundedParser.h"

namespace Lavenderloft::Process {

namespace {

    constexpr std::chrono::milliseconds responseTimeout { 2000 };

    SourceError unavailableError(const std::string& what, const std::string& reason)
    {
        return { SourceErrorKind::Unavailable, what + " is unavailable: " + reason, "check its address in the settings" };
    }

    SourceError malformedListError(const std::string& reason)
    {
        return { SourceErrorKind::Malformed, "the VM list is malformed: " + reason, "check that the setting \"vmList\" is the address of the platform's VM list" };
    }

} // namespace

HttpConfigurationSource::HttpConfigurationSource(Http::Endpoint configurationService, Http::Endpoint vmList)
    : m_configurationService(std::move(configurationService))
    , m_vmList(std::move(vmList))
{
}

Base::Result<std::optional<std::string>, SourceError> HttpConfigurationSource::read(uint64_t afterRevision, std::chrono::milliseconds wait)
{
    Http::HttpRequest request;
    request.target = "/v1/config/desired-state?after=" + std::to_string(afterRevision) + "&waitMs=" + std::to_string(wait.count());
    auto result = m_client.fetch(m_configurationService, std::move(request), wait + responseTimeout);
    if (!Base::succeeded(result))
        return unavailableError("the configuration service", Base::errorOf(result).message);
    auto& response = Base::valueOf(result);
    if (response.status == 204 || response.status == 404)
        return std::optional<std::string>();
    if (response.status != 200)
        return unavailableError("the configuration service", "status " + std::to_string(response.status));
    return std::optional(response.body);
}

Base::Result<std::vector<ListedVm>, SourceError> HttpConfigurationSource::listVms()
{
    Http::HttpRequest request;
    request.target = "/v1/vms";
    auto result = m_client.fetch(m_vmList, std::move(request), responseTimeout);
    if (!Base::succeeded(result))
        return unavailableError("the VM list", Base::errorOf(result).message);
    auto parsed = Json::parseBounded(Base::valueOf(result).body);
    if (!Base::succeeded(parsed))
        return malformedListError(Base::errorOf(parsed).message);
    auto document = Base::takeValue(std::move(parsed));
    if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array())
        return malformedListError("no array \"vms\"");
    std::vector<ListedVm> vms;
    for (auto& entry : document["vms"]) {
        if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string() || !entry.contains("address") || !entry["address"].is_string())
            return malformedListError("an entry lacks \"name\" or \"address\"");
        auto state = entry.contains("state") && entry["state"].is_string() ? entry["state"].get<std::string>() : std::string("live");
        vms.push_back({ entry["name"], entry["address"], state == "leaving" });
    }
    return vms;
}

} // namespace Lavenderloft::Process
