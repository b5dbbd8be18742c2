#pragma once

#include "Soak/NodeProcess.h"

#include <boost/asio.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <string>
#include <sys/resource.h>

namespace Lavenderloft::HostileCallers {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Limits of the process under test, lowered so that a small crowd shows a missing bound.
inline constexpr size_t vmMegabytes = 96;
inline constexpr rlim_t descriptorLimit = 256;
// An eighth of the descriptors has to be left for targets and peers.
inline constexpr size_t maximumOpenDescriptors = descriptorLimit * 7 / 8;

// Applies a lower descriptor limit to the processes that are started while this object exists.
class LoweredDescriptorLimit {
public:
    LoweredDescriptorLimit()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_before);
        rlimit lowered { descriptorLimit, m_before.rlim_max };
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }

    LoweredDescriptorLimit(const LoweredDescriptorLimit&) = delete;
    LoweredDescriptorLimit& operator=(const LoweredDescriptorLimit&) = delete;
    ~LoweredDescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_before); }

private:
    rlimit m_before {};
};

// A process of this build with lowered limits.
class ProcessUnderAttack {
public:
    bool isAlive() const { return !m_process->takeEnd().has_value(); }

    // A number from the status of the process in kB, for example VmHWM.
    size_t statusOf(const std::string& name) const
    {
        std::ifstream file("/proc/" + std::to_string(m_process->pid()) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with(name + ":"))
                return std::stoul(line.substr(name.size() + 1));
        }
        return 0;
    }

    size_t openDescriptors() const
    {
        std::error_code error;
        size_t count = 0;
        for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(m_process->pid()) + "/fd", error), end; !error && entry != end; entry.increment(error))
            ++count;
        return count;
    }

protected:
    // A loopback address of this test's own, so that tests which run at the same time do not choose the same ports.
    static asio::ip::address ownAddress()
    {
        auto process = static_cast<uint32_t>(::getpid());
        constexpr uint32_t network = 0x7ffb0000; // 127.251.0.0
        return asio::ip::address_v4(network | (process & 0xffff));
    }

    void startProcess(const std::string& command, const std::filesystem::path& settings, const std::string& settingsOption = {})
    {
        LoweredDescriptorLimit limit;
        m_process = std::make_unique<Soak::NodeProcess>(command, settings.string(), settings.string() + ".log", settingsOption);
    }

    void endProcess() { m_process->kill(); }

    // First of the ports of a process, below those of outgoing connections.
    static uint16_t findFreePorts(const asio::ip::address& address)
    {
        asio::io_context context;
        constexpr uint16_t portsPerNode = 20;
        std::mt19937 random(std::random_device {}());
        while (true) {
            auto first = static_cast<uint16_t>(12000 + random() % 18000);
            bool areFree = true;
            for (uint16_t port = first; areFree && port < first + portsPerNode; ++port) {
                boost::system::error_code error;
                tcp::acceptor acceptor(context);
                acceptor.open(tcp::v4(), error);
                acceptor.bind({ address, port }, error);
                areFree = !error;
            }
            if (areFree)
                return first;
        }
    }

private:
    std::unique_ptr<Soak::NodeProcess> m_process;
};

} // namespace Lavenderloft::HostileCallers
