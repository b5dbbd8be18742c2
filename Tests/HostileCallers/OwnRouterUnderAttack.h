#pragma once

#include "HostileCallers/ProcessUnderAttack.h"

#include <nlohmann/json.hpp>

namespace Lavenderloft::HostileCallers {

// The router of the product's own fleet, without a desired state: it answers each request with an error, and its health.
class OwnRouterUnderAttack : public ProcessUnderAttack {
public:
    OwnRouterUnderAttack()
        : m_folder(std::filesystem::temp_directory_path() / ("lavenderloft-hostile-own-" + std::to_string(::getpid())))
        , m_firstPort(findFreePorts(address()))
    {
        std::filesystem::create_directories(m_folder);
        auto at = [this](unsigned offset) { return address().to_string() + ":" + std::to_string(m_firstPort + offset); };
        nlohmann::json settings { { "vm", "r-1" }, { "region", "region-a" }, { "dataCentre", "dc-a" }, { "inner", at(0) }, { "admin", at(1) }, { "callers", at(2) },
            { "configurationService", at(3) }, { "vmList", at(3) }, { "peers", { at(4) } }, { "streamBudgetBytes", streamBudgetBytes }, { "plainTextOnLoopback", true } };
        std::ofstream(m_folder / "router.json") << settings.dump();
        startProcess("router", m_folder / "router.json", "--settings");
    }

    ~OwnRouterUnderAttack()
    {
        endProcess();
        std::filesystem::remove_all(m_folder);
    }

    tcp::endpoint admin() const { return { address(), static_cast<uint16_t>(m_firstPort + 1) }; }
    tcp::endpoint callers() const { return { address(), static_cast<uint16_t>(m_firstPort + 2) }; }

private:
    // A sixth of the memory of the VM.
    static constexpr size_t streamBudgetBytes = vmMegabytes * 1024 * 1024 / 6;

    static asio::ip::address address() { return ownAddress(); }

    std::filesystem::path m_folder;
    uint16_t m_firstPort;
};

} // namespace Lavenderloft::HostileCallers
