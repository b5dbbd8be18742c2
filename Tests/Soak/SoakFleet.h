#pragma once

#include "Soak/NodeProcess.h"
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
};

// A store, targets behind faulty links, and routers as processes.
class SoakFleet {
public:
    static constexpr unsigned targetsPerService = 3;
    static constexpr std::chrono::milliseconds grace { 8000 };

    // Without known seeds, the settings of the routers name only an address at which nobody is.
    SoakFleet(unsigned seed, unsigned routerCount, bool areSeedsKnown = true)
        : store(context)
        , m_folder(makeFolder(seed))
        , m_subnet("127.0." + std::to_string(1 + seed % 250) + ".")
        , m_firstPort(findFreePorts(routerCount))
    {
        for (unsigned i = 0; i < 2 * targetsPerService; ++i) {
            targets.push_back(std::make_unique<SoakTarget>(context, ledger, seed * 100 + i));
            publishTarget(i, "ready");
        }
        publishConfiguration();
        for (unsigned i = 0; i < routerCount; ++i)
            routers.push_back(startRouter(i, areSeedsKnown ? std::vector<unsigned> { 0, 1 } : std::vector<unsigned> { unusedRouter }));
    }

    // Writes the settings file of a router, with the given routers as its seeds.
    void writeSettings(unsigned router, const std::vector<unsigned>& seeds) const
    {
        auto address = addressOf(router);
        std::ofstream file(settingsOf(router));
        file << "node: \"" << nameOf(router) << "\"\nip: \"" << address << "\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n"
             << "listen:\n  front: \"" << address << ":" << callerPort() << "\"\n  ready: \"" << address << ":" << readyPort() << "\"\n"
             << "port_range:\n  - " << m_firstPort << "\n  - " << m_firstPort + 15 << "\nseeds:\n";
        for (auto seed : seeds)
            file << "  - \"" << addressOf(seed) << ":" << m_firstPort + 19 << "\"\n";
        file << "limits: {memory_mb: 260, link_mbps: 1000.0}\nbounds: {grace_s: " << grace / std::chrono::seconds(1) << ", config_apply_ms: 2000, version_ms: 8000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 100}\n"
             << "platform: {address: \"127.0.0.1:" << store.link().port() << "\"}\n";
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
            { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 }, { "state", state }, { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1000 + m_starts } };
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
        auto route = [](const std::string& name, const std::string& prefix, const std::string& kind, const std::string& service, unsigned attempts) {
            return nlohmann::json { { "name", name }, { "host", "soak.example" }, { "prefix", prefix }, { "kind", kind }, { "timeout_ms", 3000 }, { "target_latency_ms", 400 },
                { "priority", 1 }, { "service", service }, { "max_attempts", attempts }, { "public", true }, { "session_affinity", false }, { "resumable", kind == "streaming" }, { "gap_aim_ms", 300 }, { "allowed_regions", nlohmann::json::array() } };
        };
        auto service = [](const std::string& name) {
            return nlohmann::json { { "name", name }, { "health_check", "/healthz" }, { "max_connections", 96 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } };
        };
        nlohmann::json configuration { { "version", ++m_configurationVersion },
            { "routes", { route("stock", "/stock", "safe", "ledger", 3), route("loan", "/loan", "unsafe", "ledger", 2), route("draft", "/draft", "streaming", "drafts", 3) } },
            { "services", { service("ledger"), service("drafts") } },
            { "limits", { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } } } };
        store.put("op/config", configuration.dump());
    }

    asio::io_context context { 1 };
    RequestLedger ledger;
    SoakStore store;
    std::vector<std::unique_ptr<SoakTarget>> targets;
    std::vector<SoakRouter> routers;

private:
    static std::filesystem::path makeFolder(unsigned seed)
    {
        auto folder = std::filesystem::temp_directory_path() / ("lavenderloft-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
        std::filesystem::create_directories(folder);
        return folder;
    }

    std::string addressOf(unsigned router) const { return m_subnet + std::to_string(router + 1); }

    bool isFree(uint16_t port, unsigned routerCount)
    {
        for (unsigned i = 0; i < routerCount; ++i) {
            auto address = asio::ip::make_address(addressOf(i));
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

    // First of the ports of each router, below those of outgoing connections.
    uint16_t findFreePorts(unsigned routerCount)
    {
        constexpr uint16_t portsPerRouter = 20;
        std::mt19937 random(std::random_device {}());
        while (true) {
            auto first = static_cast<uint16_t>(12000 + random() % 18000);
            bool areFree = true;
            for (uint16_t port = first; areFree && port < first + portsPerRouter; ++port)
                areFree = isFree(port, routerCount);
            if (areFree)
                return first;
        }
    }

    static std::string nameOf(unsigned router) { return "router-" + std::to_string(router); }
    std::filesystem::path settingsOf(unsigned router) const { return m_folder / (nameOf(router) + ".yaml"); }

    SoakRouter startRouter(unsigned index, const std::vector<unsigned>& seeds)
    {
        writeSettings(index, seeds);
        SoakRouter router;
        router.address = addressOf(index);
        router.process = std::make_unique<NodeProcess>("node-router", settingsOf(index), m_folder / (nameOf(index) + ".log"));
        return router;
    }

    // No router has this number.
    static constexpr unsigned unusedRouter = 250;

    std::filesystem::path m_folder;
    std::string m_subnet;
    unsigned m_starts = 0;
    unsigned m_configurationVersion = 6;
    uint16_t m_firstPort;
};

} // namespace Lavenderloft::Soak
