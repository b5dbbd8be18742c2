#pragma once

#include "Soak/NodeProcess.h"
#include "Soak/SoakEngine.h"
#include "Soak/SoakOrigin.h"
#include "Soak/SoakStore.h"
#include "Soak/SoakTarget.h"

#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

namespace Lavenderloft::Soak {

// A router process at a loopback address of its own, as the load balancer sees it.
struct SoakRouter {
    std::string address;
    std::unique_ptr<NodeProcess> process;
    bool isReady = false;
    // A stop or a kill was ordered, so that its end is expected.
    bool mayEnd = false;
    // Last SIGTERM.
    SteadyClock::time_point stoppedAt;
};

// An engine and the agent process beside it, at a loopback address of their own.
struct SoakAgent {
    std::unique_ptr<SoakEngine> engine;
    std::unique_ptr<NodeProcess> process;
};

// A store, targets and engines behind faulty links, and routers and agents as processes.
class SoakFleet {
public:
    static constexpr unsigned targetsPerService = 3;
    static constexpr std::chrono::milliseconds grace { 8000 };

    // Without known seeds, the settings of the routers name only an address at which nobody is. Streams are served by the
    // engines if there are any.
    SoakFleet(unsigned seed, unsigned routerCount, bool areSeedsKnown = true, unsigned engineCount = 0)
        : store(context)
        , origin(context)
        , m_folder(makeFolder(seed))
        , m_record(m_folder / "engines.log")
        , m_subnet("127.0." + std::to_string(1 + seed % 250) + ".")
        , m_firstPort(findFreePorts(routerCount, engineCount))
    {
        for (unsigned i = 0; i < engineCount; ++i)
            agents.push_back({ std::make_unique<SoakEngine>(context, store, ledger, m_record, i, addressOf(firstAgent + i), seed * 100 + i), nullptr });
        for (unsigned i = 0; i < 2 * targetsPerService; ++i) {
            targets.push_back(std::make_unique<SoakTarget>(context, ledger, seed * 100 + i));
            publishTarget(i, "ready");
        }
        publishConfiguration();
        for (unsigned i = 0; i < routerCount; ++i)
            routers.push_back(startRouter(i, areSeedsKnown ? std::vector<unsigned> { 0, 1 } : std::vector<unsigned> { unusedRouter }));
        for (unsigned i = 0; i < engineCount; ++i)
            agents[i].process = startAgent(i);
    }

    // Writes the settings file of a router, with the given routers as its seeds.
    void writeSettings(unsigned router, const std::vector<unsigned>& seeds) const
    {
        auto address = addressOf(router);
        writeSettings(nameOf(router), address, seeds, "listen:\n  front: \"" + address + ":" + std::to_string(callerPort()) + "\"\n  ready: \"" + address + ":" + std::to_string(readyPort()) + "\"\n");
    }

    // Address and port of a router's metrics.
    Http::Endpoint metricsOf(unsigned router) const { return { addressOf(router), m_firstPort }; }

    std::string describeFolder() const { return m_folder.string(); }
    void removeFolder() const { std::filesystem::remove_all(m_folder); }

    uint16_t callerPort() const { return m_firstPort + 17; }
    uint16_t readyPort() const { return m_firstPort + 18; }

    // Publishes the target under a new id if it had been removed.
    void publishTarget(unsigned index, const std::string& state)
    {
        auto& target = *targets[index];
        if (target.id.empty())
            target.id = "i-" + std::to_string(index) + "-" + std::to_string(++m_starts);
        nlohmann::json entry { { "service", index < targetsPerService ? "ledger" : "drafts" }, { "address", "127.0.0.1:" + std::to_string(target.link().port()) },
            { "zone", "zone-a" }, { "version", "v1" }, { "slots", slotsPerTarget }, { "state", state }, { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1000 + m_starts } };
        store.put("servers/" + target.id, entry.dump());
    }

    void removeTarget(unsigned index)
    {
        store.remove("servers/" + targets[index]->id);
        targets[index]->id.clear();
    }

    // Publishes the next version of the configuration, which allows the same requests.
    void publishConfiguration()
    {
        auto route = [this](const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, unsigned attempts) {
            return nlohmann::json { { "name", name }, { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", timeout.count() }, { "target_latency_ms", 400 },
                { "priority", 1 }, { "service", service }, { "max_attempts", attempts }, { "public", true }, { "session_affinity", false }, { "resumable", kind == "streaming" }, { "gap_aim_ms", 300 }, { "allowed_regions", nlohmann::json::array() } };
        };
        auto service = [](const std::string& name) {
            return nlohmann::json { { "name", name }, { "health_check", "/healthz" }, { "max_connections", 96 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } };
        };
        auto services = nlohmann::json::array({ service("ledger"), service("drafts"), service("pool") });
        services.back()["engine"] = SoakWeights::describeEngine();
        services.push_back(service("weights"));
        services.back()["origin"] = origin.address();
        services.back()["link_mbps"] = 100.0;
        nlohmann::json configuration { { "version", ++m_configurationVersion },
            { "routes", { route("stock", "/stock", "safe", "ledger", 3), route("loan", "/loan", "unsafe", "ledger", 2), route("draft", "/draft", "streaming", agents.empty() ? "drafts" : "pool", 3) } },
            { "services", std::move(services) },
            { "limits", { { "max_header_bytes", 131072 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
        store.put("op/config", configuration.dump());
    }

    // Version that was published last.
    uint64_t configurationVersion() const { return m_configurationVersion; }

    void declareWeights(uint64_t version)
    {
        m_record.write("version " + std::to_string(version) + " is declared");
        store.put(std::string("op/version/") + SoakWeights::model, nlohmann::json { { "model", SoakWeights::model }, { "version", version } }.dump());
    }

    // Applied with the next publication.
    unsigned slotsPerTarget = 8;
    std::chrono::milliseconds timeout { 3000 };

    asio::io_context context { 1 };
    RequestLedger ledger;
    SoakStore store;
    SoakOrigin origin;
    std::vector<std::unique_ptr<SoakTarget>> targets;
    std::vector<SoakRouter> routers;
    std::vector<SoakAgent> agents;

private:
    static std::filesystem::path makeFolder(unsigned seed)
    {
        auto folder = std::filesystem::temp_directory_path() / ("lavenderloft-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
        std::filesystem::create_directories(folder);
        return folder;
    }

    std::string addressOf(unsigned node) const { return m_subnet + std::to_string(node + 1); }

    bool isFree(uint16_t port, const std::vector<unsigned>& nodes)
    {
        for (auto node : nodes) {
            auto address = asio::ip::make_address(addressOf(node));
            boost::system::error_code error;
            asio::ip::udp::socket datagrams(context);
            datagrams.open(asio::ip::udp::v4(), error);
            datagrams.bind({ address, port }, error);
            if (error)
                return false;
            tcp::acceptor acceptor(context);
            acceptor.open(tcp::v4(), error);
            acceptor.bind({ address, port }, error);
            if (error)
                return false;
        }
        return true;
    }

    // First of the ports of each router and agent, below those of outgoing connections.
    uint16_t findFreePorts(unsigned routerCount, unsigned agentCount)
    {
        constexpr uint16_t portsPerNode = 20;
        std::vector<unsigned> nodes;
        for (unsigned i = 0; i < routerCount; ++i)
            nodes.push_back(i);
        for (unsigned i = 0; i < agentCount; ++i)
            nodes.push_back(firstAgent + i);
        std::mt19937 random(std::random_device {}());
        while (true) {
            auto first = static_cast<uint16_t>(12000 + random() % 18000);
            bool areFree = true;
            for (uint16_t port = first; areFree && port < first + portsPerNode; ++port)
                areFree = isFree(port, nodes);
            if (areFree)
                return first;
        }
    }

    static std::string nameOf(unsigned router) { return "router-" + std::to_string(router); }
    std::filesystem::path fileOf(const std::string& node, const std::string& extension) const { return m_folder / (node + extension); }

    void writeSettings(const std::string& node, const std::string& address, const std::vector<unsigned>& seeds, const std::string& roleFields) const
    {
        std::ofstream file(fileOf(node, ".yaml"));
        file << "node: \"" << node << "\"\nip: \"" << address << "\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n"
             << roleFields << "port_range:\n  - " << m_firstPort << "\n  - " << m_firstPort + 15 << "\nseeds:\n";
        for (auto seed : seeds)
            file << "  - \"" << addressOf(seed) << ":" << m_firstPort + 19 << "\"\n";
        file << "limits: {memory_mb: 260, link_mbps: 1000.0}\nbounds: {grace_s: " << grace / std::chrono::seconds(1) << ", config_apply_ms: 2000, version_ms: 8000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 100}\n"
             << "platform: {address: \"127.0.0.1:" << store.link().port() << "\"}\n";
    }

    std::unique_ptr<NodeProcess> startAgent(unsigned index) const
    {
        auto name = "agent-" + std::to_string(index);
        writeSettings(name, addressOf(firstAgent + index), { 0 }, "app: \"" + agents[index].engine->address() + "\"\nservice: \"pool\"\n");
        return std::make_unique<NodeProcess>("node-agent", fileOf(name, ".yaml"), fileOf(name, ".log"));
    }

    SoakRouter startRouter(unsigned index, const std::vector<unsigned>& seeds)
    {
        writeSettings(index, seeds);
        SoakRouter router;
        router.address = addressOf(index);
        router.process = std::make_unique<NodeProcess>("node-router", fileOf(nameOf(index), ".yaml"), fileOf(nameOf(index), ".log"));
        return router;
    }

    // Number of the first agent, counted with the routers.
    static constexpr unsigned firstAgent = 100;
    // No router has this number.
    static constexpr unsigned unusedRouter = 250;

    std::filesystem::path m_folder;
    SoakRecord m_record;
    std::string m_subnet;
    unsigned m_starts = 0;
    unsigned m_configurationVersion = 6;
    uint16_t m_firstPort;
};

} // namespace Lavenderloft::Soak
