#include "CommandLine/StatusCommand.h"

#include "CommandLine/OptionParser.h"
#include "Membership/Queries/SummarizeFleet.h"
#include "Transport/ControlServiceClient.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Lavenderloft::CommandLine {

using Membership::Queries::FleetSummary;

namespace {

    constexpr std::chrono::milliseconds answerTimeout { 3000 };

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
        if (!status.refusedDocument.empty())
            output << "\nrefused document: " << status.refusedDocument << '\n';
        for (auto& refusal : summary.refusals)
            output << "refused at " << refusal << '\n';
        if (!summary.partial.empty())
            output << "\nthe view is partial:\n";
        for (auto& reason : summary.partial)
            output << "    " << reason << '\n';
    }

} // namespace

ExitCode StatusCommand::run(const std::vector<std::string>& arguments)
{
    std::string address;
    bool json = false;
    OptionParser parser(*this);
    parser.addText("address", 'a', address, "IP:PORT", "Inner address of a router or agent");
    parser.addFlag("json", 'j', json, "Print JSON");
    auto parsed = parser.parse(arguments);
    if (auto* code = std::get_if<ExitCode>(&parsed))
        return *code;
    if (address.empty()) {
        std::cerr << "lavenderloft status: option --address is missing; use " << argumentSynopsis() << '\n';
        return ExitCode::Usage;
    }
    Transport::ControlServiceClient client;
    auto result = client.fetchStatus(address, answerTimeout);
    if (!Base::succeeded(result)) {
        std::cerr << "lavenderloft status: " << Base::errorOf(result).describe() << '\n';
        return ExitCode::Refused;
    }
    auto& status = Base::valueOf(result);
    auto summary = Membership::Queries::summarizeFleet(status);
    if (json)
        std::cout << toJson(status, summary).dump(2) << '\n';
    else
        printTable(std::cout, status, summary);
    return ExitCode::Success;
}

} // namespace Lavenderloft::CommandLine
