#include "Bench/Spread/SpreadBenchmark.h"

#include "Base/Digest.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace Lavenderloft::Bench::Spread {

using namespace std::chrono_literals;

namespace {

    constexpr auto pollInterval = 5ms;
    constexpr auto memberPollInterval = 50ms;
    constexpr auto joinSettleTime = 5s;
    constexpr auto pauseBetweenChanges = 500ms;
    constexpr auto partitionDuration = 8s;
    constexpr auto convergenceLimit = 120s;
    constexpr double lossRate = 0.1;
    constexpr size_t seedsPerNode = 3;

    std::chrono::duration<double> processorTime()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        auto seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec);
        auto microseconds = static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
        return std::chrono::duration<double>(seconds + microseconds * 1e-6);
    }

    double residentBytes()
    {
        std::ifstream statm("/proc/self/statm");
        double pages = 0;
        double resident = 0;
        statm >> pages >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }

    std::string dataCentreName(size_t index)
    {
        return "dc-" + std::to_string(index);
    }

    std::chrono::milliseconds elapsedSince(std::chrono::steady_clock::time_point start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    }

} // namespace

SpreadBenchmark::SpreadBenchmark(SpreadOptions options)
    : m_options(options)
    , m_service(Standin::ConfigurationOptions {})
    , m_vmList(Standin::VmListOptions {})
{
}

SpreadReport SpreadBenchmark::run()
{
    m_report.documentBytes = documentText(1).size();
    m_service.publish(documentText(1));
    auto residentBefore = residentBytes();
    startNodes();
    auto start = std::chrono::steady_clock::now();
    m_report.converged = waitForRevision(1) && waitForMembers();
    m_report.joinTime = elapsedSince(start);
    m_report.residentBytesPerNode = (residentBytes() - residentBefore) / static_cast<double>(m_options.nodes);
    measureIdleFleet();
    if (m_options.fault == Fault::Loss)
        m_faults.lossRate = lossRate;
    auto bytesBefore = totalBytes();
    for (uint64_t revision = 2; revision < 2 + m_options.changes; ++revision) {
        if (m_options.fault == Fault::Partition)
            publishDuringPartition(revision);
        else
            publishChange(revision);
    }
    auto bytes = static_cast<double>(totalBytes() - bytesBefore);
    m_report.bytesPerNodeChange = bytes / static_cast<double>(m_options.nodes * std::max<size_t>(1, m_options.changes));
    for (auto& node : m_nodes)
        node->stop();
    return m_report;
}

void SpreadBenchmark::startNodes()
{
    std::vector<std::string> addresses;
    m_greatestRevisions.assign(m_options.nodes, 0);
    for (size_t i = 0; i < m_options.nodes; ++i) {
        Settings::ProcessSettings settings;
        settings.vm = "vm-" + std::to_string(i);
        settings.dataCentre = dataCentreName(i % m_options.dataCentres);
        settings.region = "region-" + std::to_string(i % m_options.dataCentres / 4);
        settings.inner = "127.0.0.1:0";
        auto role = i % 8 ? Membership::Role::Agent : Membership::Role::Router;
        m_nodes.push_back(std::make_unique<FleetNode>(settings, role, m_options.seed * 100003 + i, m_faults, makeConfigurationSource()));
        std::vector<std::string> seeds(addresses.begin(), addresses.begin() + static_cast<long>(std::min(seedsPerNode, addresses.size())));
        m_nodes.back()->start(seeds);
        addresses.push_back(m_nodes.back()->address());
    }
}

std::unique_ptr<Process::ConfigurationSource> SpreadBenchmark::makeConfigurationSource() const
{
    return std::make_unique<Process::HttpConfigurationSource>(
        Http::Endpoint { "127.0.0.1", m_service.port() }, Http::Endpoint { "127.0.0.1", m_vmList.port() });
}

size_t SpreadBenchmark::countNodesAtRevision(uint64_t revision)
{
    size_t count = 0;
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        auto document = m_nodes[i]->control().document();
        auto current = document ? document->revision : 0;
        if (current < m_greatestRevisions[i])
            ++m_report.reverted;
        m_greatestRevisions[i] = std::max(m_greatestRevisions[i], current);
        if (current >= revision)
            ++count;
    }
    return count;
}

bool SpreadBenchmark::waitForRevision(uint64_t revision)
{
    auto start = std::chrono::steady_clock::now();
    while (countNodesAtRevision(revision) < m_nodes.size()) {
        if (elapsedSince(start) > convergenceLimit)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

bool SpreadBenchmark::waitForMembers()
{
    auto start = std::chrono::steady_clock::now();
    auto knowsAll = [this](auto& node) { return node->control().members().size() == m_nodes.size(); };
    while (!std::all_of(m_nodes.begin(), m_nodes.end(), knowsAll)) {
        if (elapsedSince(start) > convergenceLimit)
            return false;
        std::this_thread::sleep_for(memberPollInterval);
    }
    return true;
}

void SpreadBenchmark::measureIdleFleet()
{
    // Gossip about the joins continues for a while after all member lists agree.
    std::this_thread::sleep_for(joinSettleTime);
    auto bytes = totalBytes();
    auto processor = processorTime();
    auto calls = m_service.counters();
    std::this_thread::sleep_for(m_options.idleTime);
    auto seconds = static_cast<double>(m_options.idleTime.count());
    auto nodes = static_cast<double>(m_options.nodes);
    auto callsAfter = m_service.counters();
    m_report.quietBytesPerNodeSecond = static_cast<double>(totalBytes() - bytes) / nodes / seconds;
    m_report.quietCorePerNode = (processorTime() - processor).count() / nodes / seconds;
    m_report.serviceCallsPerSecond = static_cast<double>(callsAfter.reads + callsAfter.watches - calls.reads - calls.watches) / seconds;
}

void SpreadBenchmark::publishChange(uint64_t revision)
{
    auto start = std::chrono::steady_clock::now();
    m_service.publish(documentText(revision));
    if (m_options.fault == Fault::ServiceDown) {
        while (!countNodesAtRevision(revision) && elapsedSince(start) < convergenceLimit)
            std::this_thread::sleep_for(1ms);
        m_service.setDown(true);
    }
    if (waitForRevision(revision))
        m_report.inForceTimes.push_back(elapsedSince(start));
    else
        ++m_report.revisionsLost;
    m_service.setDown(false);
    std::this_thread::sleep_for(pauseBetweenChanges);
}

void SpreadBenchmark::publishDuringPartition(uint64_t revision)
{
    std::set<std::string> partitioned;
    for (auto& node : m_nodes) {
        if (node->dataCentre() != dataCentreName(0))
            continue;
        partitioned.insert(node->address());
        node->setPartitionedFromPlatform(true);
    }
    m_faults.setPartition(partitioned);
    m_service.publish(documentText(revision));
    std::this_thread::sleep_for(partitionDuration);
    auto start = std::chrono::steady_clock::now();
    m_faults.setPartition({});
    for (auto& node : m_nodes)
        node->setPartitionedFromPlatform(false);
    if (waitForRevision(revision))
        m_report.inForceTimes.push_back(elapsedSince(start));
    else
        ++m_report.revisionsLost;
}

std::string SpreadBenchmark::documentText(uint64_t revision) const
{
    nlohmann::ordered_json document;
    document["revision"] = revision;
    document["services"] = nlohmann::ordered_json::array();
    for (size_t i = 0; i <= (m_options.dataCentres - 1) / 4; ++i)
        document["regions"].push_back({ { "name", "region-" + std::to_string(i) } });
    for (size_t i = 0; i < m_options.dataCentres; ++i)
        document["dataCentres"].push_back({ { "name", dataCentreName(i) }, { "region", "region-" + std::to_string(i / 4) }, { "state", "in" } });
    for (size_t i = 0; i < m_options.pools; ++i) {
        auto name = "pool-" + std::to_string(i);
        // Each revision changes the version of one pool.
        auto version = i == revision % m_options.pools ? name + std::to_string(revision) : name;
        document["pools"].push_back({ { "name", name }, { "manifest", Base::sha256(version) }, { "replicas", 4 }, { "coldLimit", 2 }, { "fullLimit", 16 } });
        document["routes"].push_back({ { "path", "/v1/" + name }, { "pool", name } });
    }
    return document.dump(1);
}

uint64_t SpreadBenchmark::totalBytes() const
{
    uint64_t total = 0;
    for (auto& node : m_nodes)
        total += node->bytesTransferred();
    return total;
}

} // namespace Lavenderloft::Bench::Spread
