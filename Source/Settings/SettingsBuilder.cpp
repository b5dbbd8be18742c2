#include "Settings/SettingsBuilder.h"

#include "Settings/Queries/CheckSettings.h"

namespace Lavenderloft::Settings {

namespace {

    class ProblemCollector final : public Json::ProblemSink {
    public:
        void addProblem(Json::ProblemKind kind, std::string pointer, std::string message, std::string remedy) override
        {
            m_error.problems.push_back({ kind, std::move(pointer), std::nullopt, std::move(message), std::move(remedy) });
        }

        // Reports a missing required field. For settings files the parser does this.
        void requireText(const std::string& pointer, const std::string& text)
        {
            if (text.empty())
                addProblem(Json::ProblemKind::MissingField, pointer, "the field is missing", "set it");
        }

        bool isEmpty() const { return m_error.problems.empty(); }
        Json::CheckError takeError() { return std::move(m_error); }

    private:
        Json::CheckError m_error;
    };

} // namespace

SettingsBuilder& SettingsBuilder::vm(std::string name, std::string region, std::string dataCentre)
{
    m_settings.vm = std::move(name);
    m_settings.region = std::move(region);
    m_settings.dataCentre = std::move(dataCentre);
    return *this;
}

SettingsBuilder& SettingsBuilder::listen(std::string inner, std::string admin)
{
    m_settings.inner = std::move(inner);
    m_settings.admin = std::move(admin);
    return *this;
}

SettingsBuilder& SettingsBuilder::callers(std::string address)
{
    m_settings.callers = std::move(address);
    return *this;
}

SettingsBuilder& SettingsBuilder::modelEngine(std::string endpoint)
{
    m_settings.target = TargetSettings { TargetKind::Model, std::move(endpoint), {} };
    return *this;
}

SettingsBuilder& SettingsBuilder::plainService(std::string name, std::string endpoint)
{
    m_settings.target = TargetSettings { TargetKind::Service, std::move(endpoint), std::move(name) };
    return *this;
}

SettingsBuilder& SettingsBuilder::platform(std::string configurationService, std::string vmList, std::string weightStore)
{
    m_settings.configurationService = std::move(configurationService);
    m_settings.vmList = std::move(vmList);
    m_settings.weightStore = std::move(weightStore);
    return *this;
}

SettingsBuilder& SettingsBuilder::peers(std::vector<std::string> addresses)
{
    m_settings.peers = std::move(addresses);
    return *this;
}

SettingsBuilder& SettingsBuilder::weightMemoryBytes(uint64_t bytes)
{
    m_settings.weightMemoryBytes = bytes;
    return *this;
}

SettingsBuilder& SettingsBuilder::streamBudgetBytes(uint64_t bytes)
{
    m_settings.streamBudgetBytes = bytes;
    return *this;
}

SettingsBuilder& SettingsBuilder::interRegionLink(uint64_t bitsPerSecond, double rolloutShare)
{
    m_settings.interRegionLinkBitsPerSecond = bitsPerSecond;
    m_settings.rolloutShareOfLink = rolloutShare;
    return *this;
}

SettingsBuilder& SettingsBuilder::tls(TlsSettings tls)
{
    m_settings.tls = std::move(tls);
    return *this;
}

SettingsBuilder& SettingsBuilder::plainTextOnLoopback()
{
    m_settings.plainTextOnLoopback = true;
    return *this;
}

SettingsBuilder& SettingsBuilder::log(Observability::Level level, Observability::Layout layout)
{
    m_settings.log = { level, layout };
    return *this;
}

Base::Result<ProcessSettings, Json::CheckError> SettingsBuilder::build() const
{
    ProblemCollector problems;
    problems.requireText("/vm", m_settings.vm);
    problems.requireText("/region", m_settings.region);
    problems.requireText("/dataCentre", m_settings.dataCentre);
    problems.requireText("/inner", m_settings.inner);
    problems.requireText("/admin", m_settings.admin);
    problems.requireText("/configurationService", m_settings.configurationService);
    problems.requireText("/vmList", m_settings.vmList);
    if (m_settings.target)
        problems.requireText("/target/endpoint", m_settings.target->endpoint);
    if (m_settings.tls) {
        problems.requireText("/tls/certificateFile", m_settings.tls->certificateFile);
        problems.requireText("/tls/keyFile", m_settings.tls->keyFile);
        problems.requireText("/tls/authorityFile", m_settings.tls->authorityFile);
    }
    Queries::checkSettings(m_settings, problems);
    if (!problems.isEmpty())
        return problems.takeError();
    return m_settings;
}

} // namespace Lavenderloft::Settings
