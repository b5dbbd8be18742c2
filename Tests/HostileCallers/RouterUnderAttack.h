#pragma once

#include "HostileCallers/ProcessUnderAttack.h"
#include "Proxy/TestRouter.h"
#include "Soak/SoakStore.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

namespace Lavenderloft::HostileCallers {

// A router process with one target and a store, at a loopback address of its own.
class RouterUnderAttack : public ProcessUnderAttack {
public:
    explicit RouterUnderAttack(size_t configurationBytes = 0, size_t maximumHeaderBytes = 16384)
        : m_target([](const std::string& head, unsigned) { return reply(head); })
        , m_store(m_context)
        , m_folder(std::filesystem::temp_directory_path() / ("lavenderloft-hostile-" + std::to_string(::getpid())))
        , m_firstPort(findFreePorts(address()))
    {
        std::filesystem::create_directories(m_folder);
        publish(configurationBytes, maximumHeaderBytes);
        writeSettings();
        m_standIns = std::thread([this] { m_context.run(); });
        startProcess("node-router", m_folder / "router.yaml");
    }

    ~RouterUnderAttack()
    {
        endProcess();
        m_context.stop();
        m_standIns.join();
        std::filesystem::remove_all(m_folder);
    }

    tcp::endpoint callers() const { return { address(), static_cast<uint16_t>(m_firstPort + 17) }; }
    tcp::endpoint readiness() const { return { address(), static_cast<uint16_t>(m_firstPort + 18) }; }
    tcp::endpoint nodes() const { return { address(), m_firstPort }; }

    // Longer than the buffers of the kernel, so that the router is blocked by a caller that does not read.
    static constexpr size_t longResponseBytes = 8 * 1024 * 1024;

    // Of a path that the target serves.
    static std::string requestHead(const std::string& method, const std::string& path, const std::string& headers)
    {
        static std::atomic<unsigned> requests { 0 };
        return method + " " + path + " HTTP/1.1\r\nHost: hostile.example\r\nLavenderloft-Request-Id: h-" + std::to_string(++requests) + "\r\nLavenderloft-Deadline-Ms: 20000\r\n" + headers + "\r\n";
    }

private:
    static Proxy::ScriptedReply reply(const std::string& head)
    {
        static const std::string longBody(longResponseBytes, 'r');
        if (head.find(" /head ") != std::string::npos)
            return { Proxy::sealedResponse(head, head) };
        if (head.find(" /note ") != std::string::npos) {
            auto note = Proxy::fieldOf(head, "X-Note");
            return { Proxy::sealedResponse(head, std::to_string(std::count(note.begin(), note.end(), 'n')) + " of " + std::to_string(note.size())) };
        }
        if (auto endless = replyWithoutEnd(head))
            return *endless;
        bool isLong = head.find(" /long ") != std::string::npos;
        return { Proxy::sealedResponse(head, isLong ? longBody : "hello") };
    }

    // The reply to a path at which the target does not end its response; nullopt at other paths.
    static std::optional<Proxy::ScriptedReply> replyWithoutEnd(const std::string& head)
    {
        using Then = Proxy::ScriptedReply::Then;
        auto sealed = Proxy::sealedResponse(head, "hello");
        auto statusLine = sealed.substr(0, sealed.find("\r\n") + 2);
        auto chunked = statusLine + "Transfer-Encoding: chunked\r\n\r\n";
        std::string filler(64 * 1024, 'f');
        auto isPath = [&](const std::string& path) { return head.find(" " + path + " ") != std::string::npos; };
        if (isPath("/trailers"))
            return Proxy::ScriptedReply { chunked + "1\r\nx\r\n0\r\n", Then::Repeat, "x-trailer: " + filler + "\r\n" };
        if (isPath("/extensions"))
            return Proxy::ScriptedReply { chunked + "1;", Then::Repeat, filler };
        if (isPath("/fields"))
            return Proxy::ScriptedReply { statusLine, Then::Repeat, "x-field: " + filler + "\r\n" };
        if (isPath("/interim"))
            return Proxy::ScriptedReply { "", Then::Repeat, "HTTP/1.1 100 Continue\r\n\r\n" };
        if (isPath("/announced"))
            return Proxy::ScriptedReply { sealed, Then::Repeat, filler };
        return std::nullopt;
    }

    static asio::ip::address address() { return ownAddress(); }

    void publish(size_t configurationBytes, size_t maximumHeaderBytes)
    {
        nlohmann::json route { { "name", "all" }, { "host", "hostile.example" }, { "prefix", "/" }, { "kind", "safe" }, { "timeout_ms", 20000 }, { "target_latency_ms", 400 },
            { "priority", 1 }, { "service", "ledger" }, { "max_attempts", 3 }, { "public", true }, { "session_affinity", false }, { "resumable", false }, { "gap_aim_ms", 300 }, { "allowed_regions", nlohmann::json::array() } };
        nlohmann::json service { { "name", "ledger" }, { "health_check", "/healthz" }, { "max_connections", 96 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } };
        nlohmann::json configuration { { "version", 7 }, { "routes", { route } }, { "services", { service } }, { "padding", std::string(configurationBytes, 'p') },
            { "limits", { { "max_header_bytes", maximumHeaderBytes }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 60000 }, { "idle_timeout_ms", 60000 } } } };
        m_store.put("op/config", configuration.dump());
        nlohmann::json entry { { "service", "ledger" }, { "address", "127.0.0.1:" + std::to_string(m_target.port()) },
            { "zone", "zone-a" }, { "version", "v1" }, { "slots", 512 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 }, { "born", 1000 } };
        m_store.put("servers/i-0", entry.dump());
    }

    void writeSettings() const
    {
        auto host = address().to_string();
        std::ofstream file(m_folder / "router.yaml");
        file << "node: \"router-0\"\nip: \"" << host << "\"\nzone: \"zone-a\"\nregion: \"region-a\"\nzones:\n  zone-a: \"region-a\"\n"
             << "listen:\n  front: \"" << host << ":" << m_firstPort + 17 << "\"\n  ready: \"" << host << ":" << m_firstPort + 18 << "\"\n"
             << "port_range:\n  - " << m_firstPort << "\n  - " << m_firstPort + 15 << "\nseeds:\n  - \"" << host << ":" << m_firstPort + 19 << "\"\n"
             << "limits: {memory_mb: " << vmMegabytes << ", link_mbps: 1000.0}\nbounds: {grace_s: 8, config_apply_ms: 2000, version_ms: 8000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 100}\n"
             << "platform: {address: \"127.0.0.1:" << m_store.link().port() << "\"}\n";
    }

    Proxy::ScriptedTarget m_target;
    asio::io_context m_context { 1 };
    Soak::SoakStore m_store;
    std::filesystem::path m_folder;
    uint16_t m_firstPort;
    std::thread m_standIns;
};

} // namespace Lavenderloft::HostileCallers
