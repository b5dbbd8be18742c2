#include "Bench/RolloutCommand.h"

#include "Bench/RolloutBounds.h"
#include "CommandLine/OptionTable.h"
#include "Observability/Log.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench {

namespace {

    using CommandLine::ExitCode;

    // Limited by the threads and ports of the machine, which all nodes share.
    constexpr uint64_t maximumReplicas = 1000;

    ExitCode reportUsageError(const std::string& message)
    {
        std::cerr << "lavenderloft-bench rollout: " << message << '\n';
        return ExitCode::Usage;
    }

    // The origin's link carries two copies per floor, so N replicas that read from the origin take N/2 floors. The
    // baseline's floor is shortened so that it takes about this long.
    constexpr std::chrono::milliseconds baselineDuration { 20000 };

    nlohmann::ordered_json toJson(const RolloutMeasurement& measurement)
    {
        nlohmann::ordered_json json;
        json["complete"] = measurement.complete;
        json["timeInFloors"] = measurement.timeInFloors;
        json["medianInFloors"] = measurement.medianInFloors;
        json["originCopies"] = measurement.originCopies;
        json["interRegionCopies"] = measurement.interRegionCopies;
        json["copiesByLink"] = measurement.copiesByLink;
        json["wrongReplicas"] = measurement.wrongReplicas;
        json["corruptChunks"] = measurement.corruptChunks;
        json["stalledDownloads"] = measurement.stalledDownloads;
        json["failedDownloads"] = measurement.failedDownloads;
        json["peakBytesPerAgent"] = measurement.peakBytesPerAgent;
        json["controlBytesPerSecond"] = measurement.controlBytesPerSecond;
        json["holdingsRequestsPerSecond"] = measurement.holdingsRequestsPerSecond;
        json["chunkRequestsPerSecond"] = measurement.chunkRequestsPerSecond;
        json["refusedShare"] = measurement.refusedShare;
        json["processorCores"] = measurement.processorCores;
        json["holdingsRoundTripP99Ms"] = measurement.holdingsRoundTripP99Ms;
        json["holdingsRoundTripMaxMs"] = measurement.holdingsRoundTripMaxMs;
        return json;
    }

    void printRow(const char* name, const char* format, double value, const double* baseline)
    {
        std::printf("%-44s ", name);
        std::printf(format, value);
        if (baseline) {
            std::printf("  ");
            std::printf(format, *baseline);
        }
        std::printf("\n");
    }

} // namespace

std::string RolloutCommand::argumentSynopsis() const
{
    return "--replicas N --regions R --seed S [--fault corrupt|stall|kill|version-change|partition] [--floor-ms MS] [--chunks C] [--chunk-bytes BYTES] [--replicas-per-process P]"
           " [--json FILE] [--check BOUNDS] [--no-baseline] [--log]";
}

ExitCode RolloutCommand::run(const std::vector<std::string>& arguments)
{
    if (auto code = parse(arguments))
        return *code;
    auto measurement = measureRollout(m_options);
    std::optional<RolloutMeasurement> baseline;
    if (m_withBaseline)
        baseline = measureBaseline();
    printTable(measurement, baseline ? &*baseline : nullptr);
    if (!m_jsonPath.empty() && !writeJson(measurement, baseline ? &*baseline : nullptr))
        return ExitCode::Refused;
    if (m_boundsPath.empty())
        return measurement.complete ? ExitCode::Success : ExitCode::Refused;
    return checkBounds(measurement);
}

std::optional<ExitCode> RolloutCommand::parse(const std::vector<std::string>& arguments)
{
    uint64_t replicas = m_options.replicas;
    uint64_t regions = m_options.regions;
    uint64_t chunks = m_options.chunkCount;
    uint64_t chunkBytes = 0;
    uint64_t replicasPerProcess = m_options.replicasPerProcess;
    std::string fault = "none";
    bool noBaseline = false;
    bool log = false;
    CommandLine::OptionTable table("lavenderloft-bench", *this);
    table.number("replicas", replicas, "Number of replicas").shortName('n');
    table.number("regions", regions, "Number of regions").shortName('r');
    table.number("seed", m_options.seed, "Seed of the random number generators").shortName('s');
    table.text("fault", fault, "corrupt, stall, kill, version-change or partition").shortName('f', "FAULT");
    table.milliseconds("floor-ms", m_options.floor, "Transfer time of one copy of the model over a VM's link");
    table.number("chunk-bytes", chunkBytes, "Size of a chunk; 40960 by default, less above 100 replicas");
    table.number("chunks", chunks, "Number of chunks of the model");
    table.number("replicas-per-process", replicasPerProcess, "Largest number of replicas in one process");
    table.text("json", m_jsonPath, "Write the results to this file").shortName('\0', "FILE");
    table.text("check", m_boundsPath, "Check the results against the bounds in this file").shortName('\0', "FILE");
    table.flag("no-baseline", noBaseline, "Skip the baseline");
    table.flag("log", log, "Write log lines to standard error");
    if (auto code = table.parseOrExplain(arguments))
        return code;
    if (replicas < 1 || replicas > maximumReplicas || regions < 1 || regions > replicas || m_options.floor.count() < 1 || chunks < 1 || replicasPerProcess < 1)
        return reportUsageError("--replicas must be 1 to " + std::to_string(maximumReplicas) + ", --regions, --floor-ms, --chunks and --replicas-per-process at least 1, and --regions at most --replicas");
    auto parsedFault = parseFault(fault);
    if (!parsedFault)
        return reportUsageError("--fault \"" + fault + "\" is unknown; expected corrupt, stall, kill, version-change or partition");
    if (parsedFault == RolloutFault::Partition && regions < 2)
        return reportUsageError("--fault partition requires --regions of at least 2");
    m_options.replicas = static_cast<unsigned>(replicas);
    m_options.regions = static_cast<unsigned>(regions);
    m_options.fault = *parsedFault;
    m_options = scaleChunkSize(m_options);
    if (chunkBytes)
        m_options.chunkBytes = chunkBytes;
    m_options.chunkCount = chunks;
    m_options.replicasPerProcess = static_cast<unsigned>(std::min(replicas, replicasPerProcess));
    m_withBaseline = !noBaseline;
    if (log)
        Observability::configureLogging(Observability::Level::Info, Observability::Layout::Plain);
    return std::nullopt;
}

RolloutMeasurement RolloutCommand::measureBaseline() const
{
    auto options = m_options;
    options.originOnly = true;
    options.fault = RolloutFault::None;
    options.floor = std::min(m_options.floor, baselineDuration * 2 / m_options.replicas);
    return measureRollout(options);
}

void RolloutCommand::printTable(const RolloutMeasurement& measurement, const RolloutMeasurement* baseline) const
{
    std::printf("rollout: %u replicas, %u regions, seed %lu, fault %s, %zu chunks of %zu bytes, floor %ld ms%s\n", m_options.replicas, m_options.regions,
        static_cast<unsigned long>(m_options.seed), faultName(m_options.fault).c_str(), m_options.chunkCount, m_options.chunkBytes, static_cast<long>(m_options.floor.count()),
        baseline ? "; second column: every replica reads from the origin" : "");
    auto row = [&](const char* name, const char* format, auto member) {
        double other = baseline ? static_cast<double>(baseline->*member) : 0;
        printRow(name, format, static_cast<double>(measurement.*member), baseline ? &other : nullptr);
    };
    row("complete", "%10.0f", &RolloutMeasurement::complete);
    row("time to all replicas, floors", "%10.3f", &RolloutMeasurement::timeInFloors);
    row("time to half of the replicas, floors", "%10.3f", &RolloutMeasurement::medianInFloors);
    row("read from the origin, copies", "%10.3f", &RolloutMeasurement::originCopies);
    row("largest inflow of a region, copies", "%10.3f", &RolloutMeasurement::interRegionCopies);
    row("replicas with missing or incorrect chunks", "%10.0f", &RolloutMeasurement::wrongReplicas);
    row("chunks rejected as corrupt", "%10.0f", &RolloutMeasurement::corruptChunks);
    row("stalled downloads", "%10.0f", &RolloutMeasurement::stalledDownloads);
    row("other failed downloads", "%10.0f", &RolloutMeasurement::failedDownloads);
    // Without a baseline value: it runs later in the same process, whose peak already includes the rollout's.
    printRow("peak memory per agent, bytes", "%10.0f", static_cast<double>(measurement.peakBytesPerAgent), nullptr);
    row("control bytes per second and agent", "%10.0f", &RolloutMeasurement::controlBytesPerSecond);
    row("holdings requests per second and agent", "%10.1f", &RolloutMeasurement::holdingsRequestsPerSecond);
    row("chunk requests per second and agent", "%10.1f", &RolloutMeasurement::chunkRequestsPerSecond);
    row("chunk requests refused as busy, fraction", "%10.3f", &RolloutMeasurement::refusedShare);
    row("CPU time of all processes, cores", "%10.2f", &RolloutMeasurement::processorCores);
    row("holdings round trip, 99th percentile, ms", "%10.1f", &RolloutMeasurement::holdingsRoundTripP99Ms);
    row("holdings round trip, maximum, ms", "%10.1f", &RolloutMeasurement::holdingsRoundTripMaxMs);
    for (auto& [link, copies] : measurement.copiesByLink)
        printRow(("link " + link + ", copies").c_str(), "%10.3f", copies, nullptr);
}

bool RolloutCommand::writeJson(const RolloutMeasurement& measurement, const RolloutMeasurement* baseline) const
{
    nlohmann::ordered_json json;
    json["replicas"] = m_options.replicas;
    json["regions"] = m_options.regions;
    json["seed"] = m_options.seed;
    json["fault"] = faultName(m_options.fault);
    json["floorMs"] = m_options.floor.count();
    json["chunks"] = m_options.chunkCount;
    json["chunkBytes"] = m_options.chunkBytes;
    json["rollout"] = toJson(measurement);
    if (baseline)
        json["baseline"] = toJson(*baseline);
    std::ofstream file(m_jsonPath);
    file << json.dump(2) << '\n';
    file.close();
    if (!file)
        std::cerr << "lavenderloft-bench rollout: cannot write --json file " << m_jsonPath << '\n';
    return static_cast<bool>(file);
}

ExitCode RolloutCommand::checkBounds(const RolloutMeasurement& measurement) const
{
    auto bounds = readRolloutBounds(m_boundsPath);
    if (!Base::succeeded(bounds)) {
        std::cerr << "lavenderloft-bench rollout: " << Base::errorOf(bounds).describe() << '\n';
        return ExitCode::Refused;
    }
    auto exceeded = findExceededBounds(Base::valueOf(bounds), m_options, measurement, BoundsScope::CountsAndTime);
    for (auto& line : exceeded)
        std::cout << "bound exceeded: " << line << '\n';
    return exceeded.empty() ? ExitCode::Success : ExitCode::Refused;
}

} // namespace Lavenderloft::Bench
