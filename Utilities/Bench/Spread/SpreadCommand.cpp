#include "Bench/Spread/SpreadCommand.h"

#include "Bench/Spread/SpreadBenchmark.h"
#include "CommandLine/OptionTable.h"
#include "Observability/Log.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench::Spread {

using CommandLine::ExitCode;

namespace {

    // Limited by the threads and file descriptors of one process, which all nodes share.
    constexpr uint64_t maximumNodes = 1000;

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
    SpreadOptions options;
    uint64_t nodes = 50;
    uint64_t dataCentres = 5;
    uint64_t changes = 5;
    uint64_t pools = 20;
    std::string fault = "none";
    CommandLine::OptionTable table("lavenderloft-bench", *this);
    table.number("nodes", nodes, "Processes");
    table.number("data-centres", dataCentres, "Number of data centres");
    table.number("seed", options.seed, "Seed of the random number generators");
    table.number("changes", changes, "Number of documents to publish in sequence");
    table.number("pools", pools, "Number of pools in the document");
    table.text("fault", fault, "loss, service-down or partition").shortName('\0', "FAULT");
    if (auto code = table.parseOrExplain(arguments))
        return *code;
    if (!nodes || nodes > maximumNodes || !dataCentres || !pools || !faultNames.count(fault)) {
        std::cerr << "lavenderloft-bench spread: --nodes must be 1 to " << maximumNodes << ", --data-centres and --pools at least 1, and --fault one of loss, service-down and partition\n";
        return ExitCode::Usage;
    }
    options.nodes = nodes;
    options.dataCentres = dataCentres;
    options.changes = changes;
    options.pools = pools;
    options.fault = faultNames.at(fault);
    Observability::configureLogging(Observability::Level::Info, Observability::Layout::Plain);
    auto report = SpreadBenchmark(options).run();
    std::cout << toJson(options, fault, report).dump(2) << '\n';
    bool passed = report.converged && !report.revisionsLost && !report.reverted;
    return passed ? ExitCode::Success : ExitCode::Refused;
}

} // namespace Lavenderloft::Bench::Spread
