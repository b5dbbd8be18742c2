#pragma once

#include "Peering/PeeringCodec.h"

#include <boost/asio.hpp>
#include <random>
#include <string>

namespace Lavenderloft::HostileCallers {

// Datagrams of strangers to the address of a node: noise, parts of messages, and messages of routers and agents that do not
// exist, each with an address of its own.
inline void sendDatagrams(const boost::asio::ip::tcp::endpoint& node)
{
    constexpr unsigned rounds = 20000;
    constexpr unsigned seed = 7;
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket(context, { node.address(), 0 });
    boost::asio::ip::udp::endpoint receiver(node.address(), node.port());
    std::mt19937 random(seed);
    boost::system::error_code ignored;
    for (unsigned i = 0; i < rounds; ++i) {
        Peering::NodeMessage message;
        message.sender = "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256);
        message.dataCentre = std::string(random() % 2048, 'd');
        message.isRouter = i % 2 == 0;
        auto bytes = Peering::encodeMessage(message);
        if (i % 4 == 1)
            bytes.resize(random() % (bytes.size() + 1));
        if (i % 4 == 3) {
            for (auto& byte : bytes)
                byte = static_cast<char>(random());
        }
        socket.send_to(boost::asio::buffer(bytes), receiver, 0, ignored);
    }
}

} // namespace Lavenderloft::HostileCallers
