#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace Lavenderloft::Soak {

namespace asio = boost::asio;
using asio::ip::tcp;

inline asio::awaitable<void> pause(std::chrono::milliseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

// A TCP proxy on loopback that stands for the link to one server. Connections through it can be delayed, silenced in one
// direction or both, and reset.
class FaultyLink {
public:
    // The server listens on 127.0.0.1 and is reached through the link at the given loopback address.
    FaultyLink(asio::io_context& context, uint16_t serverPort, const std::string& address = "127.0.0.1")
        : m_context(context)
        , m_server(asio::ip::make_address("127.0.0.1"), serverPort)
        , m_acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    // Applies to bytes that are read from now on.
    std::chrono::milliseconds delay { 0 };
    bool isSilentToServer = false;
    bool isSilentToCaller = false;

    void resetConnections()
    {
        for (auto& pair : m_pairs)
            pair->reset();
    }

private:
    struct Pair {
        tcp::socket caller;
        tcp::socket server;

        void reset()
        {
            boost::system::error_code ignored;
            for (auto* socket : { &caller, &server }) {
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }
    };

    asio::awaitable<void> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto pair = std::make_shared<Pair>(Pair { tcp::socket(m_context), tcp::socket(m_context) });
            co_await m_acceptor.async_accept(pair->caller, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            asio::co_spawn(m_context, connect(pair), asio::detached);
        }
    }

    asio::awaitable<void> connect(std::shared_ptr<Pair> pair)
    {
        boost::system::error_code error;
        co_await pair->server.async_connect(m_server, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            pair->reset();
            co_return;
        }
        pair->caller.set_option(tcp::no_delay(true), error);
        pair->server.set_option(tcp::no_delay(true), error);
        m_pairs.insert(pair);
        asio::co_spawn(m_context, forward(pair, pair->caller, pair->server, isSilentToServer), asio::detached);
        asio::co_spawn(m_context, forward(pair, pair->server, pair->caller, isSilentToCaller), asio::detached);
    }

    asio::awaitable<void> forward(std::shared_ptr<Pair> pair, tcp::socket& from, tcp::socket& to, const bool& isSilent)
    {
        std::string bytes(16 * 1024, '\0');
        boost::system::error_code error;
        while (true) {
            auto count = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
            if (delay.count() > 0)
                co_await pause(delay);
            // What something between the two ends has lost never arrives.
            while (isSilent && from.is_open())
                co_await pause(std::chrono::milliseconds(20));
            co_await asio::async_write(to, asio::buffer(bytes.data(), count), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
        }
        endDirection(*pair, to, error);
        m_pairs.erase(pair);
    }

    // Passes on the way in which the other side has closed.
    static void endDirection(Pair& pair, tcp::socket& to, const boost::system::error_code& error)
    {
        boost::system::error_code ignored;
        if (error == asio::error::eof)
            to.shutdown(tcp::socket::shutdown_send, ignored);
        else
            pair.reset();
    }

    asio::io_context& m_context;
    tcp::endpoint m_server;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

} // namespace Lavenderloft::Soak
