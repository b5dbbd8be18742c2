#include "Standin/Subcommands/FreePortsSubcommand.h"

#include "Base/SeededRandom.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <iostream>
#include <stdexcept>
#include <vector>

namespace Lavenderloft::Standin::Subcommands {

namespace {

    using tcp = boost::asio::ip::tcp;

    constexpr size_t firstPort = 12000;
    constexpr size_t portCount = 18000;

    bool isFree(tcp::acceptor& acceptor, uint16_t port)
    {
        boost::system::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind({ boost::asio::ip::address_v4::loopback(), port }, error);
        return !error;
    }

} // namespace

void FreePortsSubcommand::addOptions(OptionTable& options)
{
    options.number("count", m_count, "Number of ports");
}

ExitCode FreePortsSubcommand::runWithOptions()
{
    auto random = Base::SeededRandom::fromDevice();
    boost::asio::io_context context;
    // Kept bound until the end, so that no port is printed twice.
    std::vector<tcp::acceptor> acceptors;
    auto start = random.nextBelow(portCount);
    for (size_t i = 0; i < portCount && acceptors.size() < m_count; ++i) {
        auto port = static_cast<uint16_t>(firstPort + (start + i) % portCount);
        tcp::acceptor acceptor(context);
        if (!isFree(acceptor, port))
            continue;
        std::cout << port << '\n';
        acceptors.push_back(std::move(acceptor));
    }
    if (acceptors.size() < m_count)
        throw std::runtime_error("option --count: fewer than " + std::to_string(m_count) + " ports are free");
    return ExitCode::Success;
}

} // namespace Lavenderloft::Standin::Subcommands
