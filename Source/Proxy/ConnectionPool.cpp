#include "Proxy/ConnectionPool.h"

namespace Lavenderloft::Proxy {

namespace {

    // Part of the time that the target keeps an idle connection for which it is used.
    constexpr double usableShare = 0.7;

    // Whether nothing was received while the connection was idle: neither its end nor stray bytes.
    bool isQuiet(TargetConnection& connection)
    {
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        socket.non_blocking(true, error);
        if (error)
            return false;
        char byte = 0;
        socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
        return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
    }

} // namespace

std::unique_ptr<TargetConnection> ConnectionPool::take(const std::string& targetId, Base::Duration longestIdle, Base::TimePoint now)
{
    auto found = m_idle.find(targetId);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (now < connection->usableUntil && now - connection->idleSince <= longestIdle && isQuiet(*connection)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void ConnectionPool::put(std::unique_ptr<TargetConnection> connection, Base::Duration keepAlive, Base::TimePoint now)
{
    auto& idle = m_idle[connection->targetId];
    if (idle.size() >= maximumIdlePerTarget)
        return;
    connection->stream.expires_never();
    connection->idleSince = now;
    connection->usableUntil = now + std::chrono::duration_cast<Base::Duration>(keepAlive * usableShare);
    idle.push_back(std::move(connection));
}

void ConnectionPool::closeExpired(Base::TimePoint now)
{
    for (auto& [target, idle] : m_idle)
        std::erase_if(idle, [&](auto& connection) { return now >= connection->usableUntil; });
    std::erase_if(m_idle, [](auto& entry) { return entry.second.empty(); });
}

} // namespace Lavenderloft::Proxy
