#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace Lavenderloft::HostileCallers {

// Connections of hostile callers to one address, used by a single thread. Nothing that is received is read.
class Crowd {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    Crowd(Endpoint endpoint, unsigned connections)
    {
        for (unsigned i = 0; i < connections; ++i)
            open(endpoint);
    }

    // Sends the bytes to each connection as far as it accepts them.
    void send(const std::string& bytes)
    {
        for (auto& socket : m_sockets) {
            boost::system::error_code ignored;
            socket.write_some(boost::asio::buffer(bytes), ignored);
        }
    }

    // Sends the bytes again and again to each connection that accepts them, up to a total for each connection.
    void repeat(const std::string& bytes, size_t totalBytes)
    {
        std::vector<size_t> sent(m_sockets.size(), 0);
        auto until = std::chrono::steady_clock::now() + sendingTime;
        bool isOpen = true;
        while (isOpen && std::chrono::steady_clock::now() < until) {
            isOpen = false;
            for (size_t i = 0; i < m_sockets.size(); ++i) {
                boost::system::error_code error;
                if (sent[i] >= totalBytes)
                    continue;
                // The rest of a part that was not accepted whole is sent next.
                auto offset = sent[i] % bytes.size();
                sent[i] += m_sockets[i].write_some(boost::asio::buffer(bytes.data() + offset, bytes.size() - offset), error);
                if (error && error != boost::asio::error::would_block)
                    sent[i] = totalBytes;
                isOpen = isOpen || sent[i] < totalBytes;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    // Bounds the traffic of a test; the process under test is expected to close connections earlier or to accept everything.
    static constexpr std::chrono::seconds sendingTime { 6 };

    void open(const Endpoint& endpoint)
    {
        m_sockets.emplace_back(m_context);
        boost::system::error_code ignored;
        auto& socket = m_sockets.back();
        socket.open(endpoint.protocol(), ignored);
        // A small window, so that responses wait in the process under test.
        socket.set_option(boost::asio::socket_base::receive_buffer_size(4096), ignored);
        socket.non_blocking(true, ignored);
        socket.connect(endpoint, ignored);
    }

    boost::asio::io_context m_context;
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

} // namespace Lavenderloft::HostileCallers
