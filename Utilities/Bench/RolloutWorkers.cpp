#include "Bench/RolloutWorkers.h"

#include "Bench/RolloutWorker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench {

namespace {

    using Json = nlohmann::json;

    std::string formatRequest(const std::string& command, const std::string& field, const Json& value)
    {
        return Json { { "command", command }, { field, value } }.dump();
    }

} // namespace

struct RolloutWorkers::Worker {
    explicit Worker(const std::function<void(ParentLink&)>& work)
        : process(work)
        , residentAtStart(process.residentBytes())
    {
    }

    ChildProcess process;
    uint64_t residentAtStart;
};

RolloutWorkers::RolloutWorkers(const FleetShape& shape, unsigned replicasPerProcess, const std::shared_ptr<RolloutLinks>& links, const std::map<std::string, Model>& models)
{
    for (unsigned first = 0; first < shape.replicas; first += replicasPerProcess) {
        FleetPart part { first, std::min(replicasPerProcess, shape.replicas - first), links, "" };
        m_workers.push_back(std::make_unique<Worker>([&](ParentLink& parent) {
            RolloutWorker worker(shape, part, models);
            worker.run(parent);
        }));
    }
}

RolloutWorkers::~RolloutWorkers()
{
    // A process inherits the pipes of the earlier ones, which therefore see their ends closed only after it has exited.
    while (!m_workers.empty())
        m_workers.pop_back();
}

void RolloutWorkers::start(const std::string& storeAddress)
{
    auto members = Json::array();
    for (auto& line : send(formatRequest("start", "store", storeAddress))) {
        auto response = Json::parse(line);
        for (auto& member : response.at("members"))
            members.push_back(member);
    }
    send(formatRequest("add-members", "members", members));
}

void RolloutWorkers::setWanted(const std::string& digest)
{
    sendFor("set-wanted", "digest", digest);
}

void RolloutWorkers::corruptChunksFrom(const std::string& vm)
{
    sendFor("corrupt", "vm", vm);
}

void RolloutWorkers::stallChunksFrom(const std::string& vm)
{
    sendFor("stall", "vm", vm);
}

void RolloutWorkers::partitionRegion(const std::string& region)
{
    sendFor("partition", "region", region);
}

void RolloutWorkers::kill(const std::string& vm)
{
    sendFor("kill", "vm", vm);
}

void RolloutWorkers::removeMember(const std::string& vm)
{
    sendFor("remove-member", "vm", vm);
}

unsigned RolloutWorkers::countComplete(const std::string& digest) const
{
    unsigned count = 0;
    for (auto& response : send(formatRequest("count-complete", "digest", digest)))
        count += Json::parse(response).at("complete").get<unsigned>();
    return count;
}

RolloutTotals RolloutWorkers::collect(const std::string& digest) const
{
    RolloutTotals totals;
    RolloutRoundTrips roundTrips;
    for (auto& line : send(formatRequest("collect", "digest", digest))) {
        auto response = Json::parse(line);
        auto count = [&](const char* field) { return response.at(field).get<uint64_t>(); };
        totals.wrongReplicas += static_cast<unsigned>(count("wrongReplicas"));
        totals.corruptChunks += count("corruptChunks");
        totals.stalledDownloads += count("stalledDownloads");
        totals.failedDownloads += count("failedDownloads");
        totals.controlBytes += count("controlBytes");
        totals.holdingsRequests += count("holdingsRequests");
        totals.chunkRequests += count("chunkRequests");
        totals.busyRefusals += count("busyRefusals");
        for (auto& roundTrip : response.at("roundTripsUs"))
            roundTrips.add(std::chrono::microseconds(roundTrip.get<int64_t>()));
    }
    totals.roundTrips = roundTrips.summarise();
    return totals;
}

std::chrono::duration<double> RolloutWorkers::processorTime() const
{
    double seconds = 0;
    for (auto& worker : m_workers)
        seconds += worker->process.processorSeconds();
    return std::chrono::duration<double>(seconds);
}

uint64_t RolloutWorkers::peakGrowthBytes() const
{
    uint64_t bytes = 0;
    for (auto& worker : m_workers) {
        auto peak = worker->process.peakResidentBytes();
        bytes += peak - std::min(peak, worker->residentAtStart);
    }
    return bytes;
}

std::vector<std::string> RolloutWorkers::send(const std::string& request) const
{
    for (auto& worker : m_workers)
        worker->process.writeLine(request);
    std::vector<std::string> responses;
    for (auto& worker : m_workers)
        responses.push_back(worker->process.readLine());
    return responses;
}

void RolloutWorkers::sendFor(const std::string& command, const std::string& field, const std::string& value) const
{
    send(formatRequest(command, field, value));
}

} // namespace Lavenderloft::Bench
