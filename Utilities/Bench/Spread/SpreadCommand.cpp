#include "Bench/Spread/SpreadCommand.h"

#include "Bench/Spread/SpreadBenchmark.h"
#include "Observability/Log.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <popt.h>

namespace Lavenderloft::Bench::Spread {

using CommandLine::ExitCode;

namespace {

    const std::map<std::string, Fault> faultNames {
        { "none", Fault::None },
        { "loss", Fault::Loss },
        { "service-down", Fault::ServiceDown },
        { "partition", Fault::Partition },
    };

    nlohmann::ordered_json toJson(const SpreadOptions& options, const std::string& fault, const SpreadReport& report)
    {
        nlohmann::ordered_json json;
        json["nodes"] = options.nodes;
        json["data_centres"] = options.dataCentres;
        json["seed"] = options.seed;
        json["fault"] = fault;
        json["document_bytes"] = report.documentBytes;
        json["converged"] = report.converged;
        json["join_ms"] = report.joinTime.count();
        for (auto time : report.inForceTimes)
            json["in_force_ms"].push_back(time.count());
        auto slowest = std::max_element(report.inForceTimes.begin(), report.inForceTimes.end());
        json["in_force_max_ms"] = slowest == report.inForceTimes.end() ? -1 : slowest->count();
        json["revisions_lost"] = report.revisionsLost;
        json["reverted"] = report.reverted;
        json["service_calls_per_second"] = report.serviceCallsPerSecond;
        json["quiet_bytes_per_node_second"] = report.quietBytesPerNodeSecond;
        json["quiet_core_percent_per_node"] = report.quietCorePerNode * 100;
        json["bytes_per_node_change"] = report.bytesPerNodeChange;
        json["resident_bytes_per_node"] = report.residentBytesPerNode;
        return json;
    }

} // namespace

ExitCode SpreadCommand::run(const std::vector<std::string>& arguments)
{
    int nodes = 50;
    int dataCentres = 5;
    int seed = 1;
    int changes = 5;
    int pools = 20;
    char* faultText = nullptr;
    poptOption options[] = {
        { "nodes", 0, POPT_ARG_INT, &nodes, 0, "Processes", "N" },
        { "data-centres", 0, POPT_ARG_INT, &dataCentres, 0, "Data centres", "D" },
        { "seed", 0, POPT_ARG_INT, &seed, 0, "Seed of all random choices", "S" },
        { "changes", 0, POPT_ARG_INT, &changes, 0, "Documents published one after the other", "C" },
        { "pools", 0, POPT_ARG_INT, &pools, 0, "Pools in the document", "P" },
        { "fault", 0, POPT_ARG_STRING, &faultText, 0, "loss, service-down or partition", "FAULT" },
        POPT_AUTOHELP POPT_TABLEEND
    };
    std::vector<const char*> argumentVector { "spread" };
    for (auto& argument : arguments)
        argumentVector.push_back(argument.c_str());
    std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("spread", static_cast<int>(argumentVector.size()), argumentVector.data(), options, 0), poptFreeContext);
    auto status = poptGetNextOpt(context.get());
    std::string fault = faultText ? faultText : "none";
    free(faultText);
    if (status < -1 || nodes < 1 || dataCentres < 1 || changes < 0 || pools < 1 || !faultNames.count(fault)) {
        std::cerr << "lavenderloft-bench spread: an option is malformed or out of range; see lavenderloft-bench --help\n";
        return ExitCode::Usage;
    }
    SpreadOptions spread;
    spread.nodes = static_cast<size_t>(nodes);
    spread.dataCentres = static_cast<size_t>(dataCentres);
    spread.seed = static_cast<uint64_t>(seed);
    spread.changes = static_cast<size_t>(changes);
    spread.pools = static_cast<size_t>(pools);
    spread.fault = faultNames.at(fault);
    Observability::configureLogging(Observability::Level::Info, Observability::Layout::Plain);
    auto report = SpreadBenchmark(spread).run();
    std::cout << toJson(spread, fault, report).dump(2) << '\n';
    bool held = report.converged && !report.revisionsLost && !report.reverted;
    return held ? ExitCode::Success : ExitCode::Refused;
}

} // namespace Lavenderloft::Bench::Spread
