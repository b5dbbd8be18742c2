#pragma once

#include "HostileCallers/ProcessUnderAttack.h"

#include <chrono>
#include <criterion/criterion.h>

namespace Lavenderloft::HostileCallers {

using namespace std::chrono_literals;

inline constexpr unsigned fewConnections = 4;
inline constexpr unsigned manyConnections = 400;
// Of each connection that sends without end.
inline constexpr size_t endlessBytes = 48 * 1024 * 1024;
// Time for the process to take in what a crowd has sent.
inline constexpr auto settleTime = 1500ms;
// Ends a test whose process does not respond.
inline constexpr auto hangTimeout = 15s;

// All bytes that arrive until the end of the connection or the time that ends a hang.
inline std::string exchange(const tcp::endpoint& endpoint, const std::string& request)
{
    asio::io_context context;
    tcp::socket socket(context);
    std::string response;
    boost::system::error_code ignored;
    socket.async_connect(endpoint, [&](const boost::system::error_code& error) {
        if (error)
            return;
        asio::write(socket, asio::buffer(request), ignored);
        asio::async_read(socket, asio::dynamic_buffer(response), [](const boost::system::error_code&, size_t) {});
    });
    context.run_for(hangTimeout);
    return response;
}

inline void expectWithinBounds(const ProcessUnderAttack& process)
{
    cr_assert(process.isAlive(), "the process has ended");
    cr_expect_leq(process.statusOf("VmHWM"), vmMegabytes * 1024, "%zu kB resident at the peak", process.statusOf("VmHWM"));
    cr_expect_leq(process.openDescriptors(), maximumOpenDescriptors, "%zu open descriptors", process.openDescriptors());
}

inline std::string manyFields(size_t bytes)
{
    std::string fields;
    while (fields.size() + 5 <= bytes)
        fields += "a:\r\n";
    return fields;
}

inline const std::string chunkedHead = "Transfer-Encoding: chunked\r\n";

} // namespace Lavenderloft::HostileCallers
