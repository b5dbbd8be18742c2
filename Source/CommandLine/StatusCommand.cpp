#include "CommandLine/StatusCommand.h"

#include "Base/SystemClock.h"
#include "CommandLine/CheckedInput.h"
#include "CommandLine/OptionTable.h"
#include "Membership/PoolReportTable.h"
#include "Membership/Queries/SelectPeers.h"
#include "Membership/Queries/SummarizeFleet.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/Credentials.h"
#include "Json/TextChecks.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Lavenderloft::CommandLine {

using Membership::Queries::FleetSummary;

namespace {

    constexpr std::chrono::milliseconds callTimeout { 3000 };

    // The options from which the credentials of the call are created.
    struct CredentialOptions {
        std::string settingsFile;
        Settings::TlsSettings tls;

        bool hasTlsOption() const { return !tls.certificateFile.empty() || !tls.keyFile.empty() || !tls.authorityFile.empty(); }
        bool hasAllTlsOptions() const { return !tls.certificateFile.empty() && !tls.keyFile.empty() && !tls.authorityFile.empty(); }
    };

    using CredentialsOrExit = std::variant<Transport::SharedCredentials, ExitCode>;

    CredentialsOrExit reportUsageError(const std::string& message)
    {
        std::cerr << "lavenderloft status: " << message << '\n';
        return ExitCode::Usage;
    }

    CredentialsOrExit toCredentialsOrExit(Base::Result<Transport::SharedCredentials, Transport::CredentialsError> result)
    {
        if (Base::succeeded(result))
            return Base::takeValue(std::move(result));
        std::cerr << "lavenderloft status: " << Base::errorOf(result).describe() << '\n';
        return ExitCode::Refused;
    }

    // The address also comes from the settings, unless --address is given.
    CredentialsOrExit credentialsFromSettings(const std::string& path, std::string& address)
    {
        auto settings = readSettingsInput(path);
        if (auto* code = std::get_if<ExitCode>(&settings))
            return *code;
        auto& checked = std::get<Settings::ProcessSettings>(settings);
        if (address.empty())
            address = checked.inner;
        return toCredentialsOrExit(Transport::makeCredentials(checked));
    }

    CredentialsOrExit makeStatusCredentials(const CredentialOptions& options, std::string& address)
    {
        if (!options.settingsFile.empty() && options.hasTlsOption())
            return reportUsageError("option --settings cannot be combined with options --tls-...; give one or the other");
        if (!options.settingsFile.empty())
            return credentialsFromSettings(options.settingsFile, address);
        if (options.hasTlsOption() && !options.hasAllTlsOptions())
            return reportUsageError("options --tls-certificate, --tls-key and --tls-authority must be given together");
        if (options.hasTlsOption())
            return toCredentialsOrExit(Transport::makeTlsCredentials(options.tls));
        if (!address.empty() && !Json::isLoopbackAddress(address))
            return reportUsageError("option --address is not a loopback address, which requires TLS; give --tls-certificate, --tls-key and --tls-authority, or --settings");
        return Transport::makeLoopbackCredentials();
    }

    int64_t toSeconds(Base::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(duration).count();
    }

    void printReports(std::ostream& output, const std::vector<Membership::PoolReport>& reports)
    {
        if (reports.empty())
            return;
        output << "\nreported by other data centres\n"
               << std::left << std::setw(20) << "data centre" << std::setw(20) << "pool or service" << std::right << std::setw(9) << "wanted" << std::setw(9) << "ready"
               << std::setw(9) << "loading" << std::setw(9) << "fetching" << std::setw(9) << "late" << std::setw(10) << "revision" << std::setw(8) << "age" << '\n';
        for (auto& report : reports) {
            output << std::left << std::setw(20) << report.dataCentre << std::setw(20) << report.pool << std::right << std::setw(9) << report.wanted << std::setw(9) << report.ready
                   << std::setw(9) << report.loading << std::setw(9) << report.fetching << std::setw(9) << report.late << std::setw(10) << report.oldestRevision
                   << std::setw(6) << toSeconds(report.age) << " s" << (report.age > Membership::Queries::staleReportAge ? " old" : "") << '\n';
        }
    }

    nlohmann::ordered_json toJson(const Membership::FleetStatus& status, const FleetSummary& summary)
    {
        nlohmann::ordered_json json;
        json["askedVm"] = status.self.vm;
        json["revision"] = status.revision;
        json["documentDigest"] = status.documentDigest;
        json["refusedDocument"] = status.refusedDocument;
        json["dataCentres"] = nlohmann::ordered_json::array();
        for (auto& [name, dataCentre] : summary.dataCentres) {
            json["dataCentres"].push_back({ { "name", name }, { "routers", dataCentre.routers }, { "agents", dataCentre.agents },
                { "leaving", dataCentre.leaving }, { "suspect", dataCentre.suspect },
                { "leastRevision", dataCentre.leastRevision }, { "greatestRevision", dataCentre.greatestRevision } });
        }
        json["pools"] = nlohmann::ordered_json::array();
        for (auto& [name, pool] : summary.pools) {
            json["pools"].push_back({ { "name", name }, { "ready", pool.ready }, { "fetching", pool.fetching }, { "waiting", pool.waiting },
                { "loading", pool.loading }, { "failed", pool.failed }, { "leaving", pool.leaving }, { "serving", pool.readyByDigest }, { "late", pool.late } });
        }
        json["otherDataCentres"] = nlohmann::ordered_json::array();
        for (auto& report : summary.reports) {
            json["otherDataCentres"].push_back({ { "dataCentre", report.dataCentre }, { "pool", report.pool }, { "wanted", report.wanted }, { "ready", report.ready },
                { "loading", report.loading }, { "fetching", report.fetching }, { "late", report.late }, { "oldestRevision", report.oldestRevision },
                { "ageSeconds", toSeconds(report.age) }, { "old", report.age > Membership::Queries::staleReportAge } });
        }
        json["refusals"] = summary.refusals;
        json["partial"] = summary.partial;
        return json;
    }

    void printTable(std::ostream& output, const Membership::FleetStatus& status, const FleetSummary& summary)
    {
        output << "view of " << status.self.vm << ", revision " << status.revision << " in force there\n\n";
        output << std::left << std::setw(20) << "data centre" << std::right << std::setw(9) << "routers" << std::setw(9) << "agents"
               << std::setw(9) << "leaving" << std::setw(9) << "suspect" << std::setw(12) << "revisions" << '\n';
        for (auto& [name, dataCentre] : summary.dataCentres) {
            auto revisions = std::to_string(dataCentre.leastRevision);
            if (dataCentre.leastRevision != dataCentre.greatestRevision)
                revisions += " - " + std::to_string(dataCentre.greatestRevision);
            output << std::left << std::setw(20) << name << std::right << std::setw(9) << dataCentre.routers << std::setw(9) << dataCentre.agents
                   << std::setw(9) << dataCentre.leaving << std::setw(9) << dataCentre.suspect << std::setw(12) << revisions << '\n';
        }
        output << '\n'
               << std::left << std::setw(20) << "pool or service" << std::right << std::setw(9) << "ready" << std::setw(9) << "fetching" << std::setw(9)
               << "waiting" << std::setw(9) << "loading" << std::setw(9) << "failed" << std::setw(9) << "leaving" << '\n';
        for (auto& [name, pool] : summary.pools) {
            output << std::left << std::setw(20) << name << std::right << std::setw(9) << pool.ready << std::setw(9) << pool.fetching << std::setw(9)
                   << pool.waiting << std::setw(9) << pool.loading << std::setw(9) << pool.failed << std::setw(9) << pool.leaving << '\n';
            for (auto& reason : pool.late)
                output << "    late: " << reason << '\n';
        }
        printReports(output, summary.reports);
        if (!status.refusedDocument.empty())
            output << "\nrefused document: " << status.refusedDocument << '\n';
        for (auto& refusal : summary.refusals)
            output << "refused at " << refusal << '\n';
        if (!summary.partial.empty())
            output << "\nthe view is partial:\n";
        for (auto& reason : summary.partial)
            output << "    " << reason << '\n';
    }

    // Only relays receive the reports of other data centres, so the relays of the queried VM's data centre are queried
    // too. Reports of a relay that does not respond are omitted; the summary lists what is missing.
    void addRelayReports(Transport::ControlServiceClient& client, Membership::FleetStatus& status)
    {
        Membership::PoolReportTable reports;
        auto now = Base::SystemClock().now();
        reports.merge(status.poolReports, now);
        for (auto& relay : Membership::Queries::selectRelays(status.members, status.self.dataCentre)) {
            if (relay.vm == status.self.vm)
                continue;
            auto response = client.fetchStatus(relay.address, callTimeout);
            if (Base::succeeded(response))
                reports.merge(Base::valueOf(response).poolReports, now);
        }
        status.poolReports = reports.all(now);
    }

} // namespace

ExitCode StatusCommand::run(const std::vector<std::string>& arguments)
{
    std::string address;
    bool json = false;
    CredentialOptions credentialOptions;
    OptionTable options(programName, *this);
    options.text("address", address, "Inner address of a router or agent").shortName('a', "IP:PORT");
    options.text("settings", credentialOptions.settingsFile, "Settings file whose certificate and inner address are used").shortName('s', "FILE");
    options.text("tls-certificate", credentialOptions.tls.certificateFile, "Client certificate, PEM").shortName('c', "FILE");
    options.text("tls-key", credentialOptions.tls.keyFile, "Private key of the certificate, PEM").shortName('k', "FILE");
    options.text("tls-authority", credentialOptions.tls.authorityFile, "Trusted certificate authorities, PEM").shortName('u', "FILE");
    options.flag("json", json, "Print JSON").shortName('j');
    if (auto code = options.parseOrExplain(arguments))
        return *code;
    auto credentials = makeStatusCredentials(credentialOptions, address);
    if (auto* code = std::get_if<ExitCode>(&credentials))
        return *code;
    if (address.empty()) {
        std::cerr << "lavenderloft status: option --address is missing; use " << argumentSynopsis() << '\n';
        return ExitCode::Usage;
    }
    Transport::ControlServiceClient client(std::get<Transport::SharedCredentials>(credentials));
    auto result = client.fetchStatus(address, callTimeout);
    if (!Base::succeeded(result)) {
        std::cerr << "lavenderloft status: " << Base::errorOf(result).describe() << '\n';
        return ExitCode::Refused;
    }
    auto status = Base::takeValue(std::move(result));
    addRelayReports(client, status);
    auto summary = Membership::Queries::summarizeFleet(status);
    if (json)
        std::cout << toJson(status, summary).dump(2) << '\n';
    else
        printTable(std::cout, status, summary);
    return ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
