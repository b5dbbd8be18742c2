#pragma once

#include "HostileCallers/ProcessUnderAttack.h"
#include "Proxy/ScriptedTarget.h"
#include "Soak/SoakStore.h"

#include <filesystem>
#include <fstream>
#include <thread>

namespace Lavenderloft::HostileCallers {

// An agent process with a store and an engine that rejects everything, without routers. It serves items and pieces to other
// nodes at the only address at which it listens.
class AgentUnderAttack : public ProcessUnderAttack {
public:
    static constexpr std::string_view publishedKey = "servers/i-0";

    AgentUnderAttack()
        : m_engine([](const std::string&, unsigned) { return Proxy::ScriptedReply { "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" }; })
        , m_store(m_context)
        , m_folder(std::filesystem::temp_directory_path() / ("lavenderloft-hostile-agent-" + std::to_string(::getpid())))
        , m_firstPort(findFreePorts(ownAddress()))
    {
        std::filesystem::create_directories(m_folder);
        m_store.put(std::string(publishedKey), "{}");
        writeSettings();
        m_standIns = std::thread([this] { m_context.run(); });
        startProcess("node-agent", m_folder / "agent.yaml");
    }

    ~AgentUnderAttack()
    {
        endProcess();
        m_context.stop();
        m_standIns.join();
        std::filesystem::remove_all(m_folder);
    }

    tcp::endpoint nodes() const { return { ownAddress(), m_firstPort }; }

private:
    void writeSettings() const
    {
        auto host = ownAddress().to_string();
        std::ofstream file(m_folder / "agent.yaml");
        file << "node: \"agent-0\"\nip: \"" << host << "\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n"
             << "app: \"127.0.0.1:" << m_engine.port() << "\"\nservice: \"pool\"\n"
             << "port_range:\n  - " << m_firstPort << "\n  - " << m_firstPort + 15 << "\nseeds:\n  - \"" << host << ":" << m_firstPort + 19 << "\"\n"
             << "limits: {memory_mb: " << vmMegabytes << ", link_mbps: 1000.0}\nbounds: {grace_s: 8, config_apply_ms: 2000, version_ms: 8000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 100}\n"
             << "platform: {address: \"127.0.0.1:" << m_store.link().port() << "\"}\n";
    }

    Proxy::ScriptedTarget m_engine;
    asio::io_context m_context { 1 };
    Soak::SoakStore m_store;
    std::filesystem::path m_folder;
    uint16_t m_firstPort;
    std::thread m_standIns;
};

} // namespace Lavenderloft::HostileCallers
