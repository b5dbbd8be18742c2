#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Lavenderloft {

// Forwards TCP connections to one address. `freeze` stops all traffic on the open connections without closing them;
// new connections are not affected.
class FreezingProxy {
public:
    explicit FreezingProxy(const std::string& target)
        : m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_target(boost::asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(std::stoi(target.substr(target.find(':') + 1))))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~FreezingProxy()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    void freeze()
    {
        boost::asio::post(m_context, [this] {
            for (auto& connection : m_connections)
                connection->frozen = true;
        });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Connection {
        Socket caller;
        Socket target;
        bool frozen = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<Connection>(Connection { std::move(socket), Socket(m_context) });
            connection->target.connect(m_target);
            m_connections.push_back(connection);
            forward(connection, connection->caller, connection->target, std::make_shared<std::vector<char>>(65536));
            forward(connection, connection->target, connection->caller, std::make_shared<std::vector<char>>(65536));
            accept();
        });
    }

    void forward(const std::shared_ptr<Connection>& connection, Socket& from, Socket& to, const std::shared_ptr<std::vector<char>>& buffer)
    {
        from.async_read_some(boost::asio::buffer(*buffer), [this, connection, &from, &to, buffer](boost::system::error_code error, size_t count) {
            if (connection->frozen)
                return;
            boost::system::error_code writeError;
            if (!error)
                boost::asio::write(to, boost::asio::buffer(buffer->data(), count), writeError);
            if (!error && !writeError)
                return forward(connection, from, to, buffer);
            connection->caller.close(writeError);
            connection->target.close(writeError);
        });
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::thread m_thread;
};

} // namespace Lavenderloft
