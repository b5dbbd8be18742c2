#include "Proxy/ConnectionPool.h"

#include "Http/IdleConnection.h"

namespace Lavenderloft::Proxy {

namespace {

    // Fraction of the target's keep-alive time for which an idle connection is reused.
    constexpr double usedKeepAliveFraction = 0.7;

} // namespace

std::unique_ptr<TargetConnection> ConnectionPool::take(const std::string& targetId, Base::Duration maximumIdle, Base::TimePoint now)
{
    auto found = m_idle.find(targetId);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (now < connection->usableUntil && now - connection->idleSince <= maximumIdle && Http::isReusable(connection->stream.socket()))
            return connection;
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
    connection->usableUntil = now + std::chrono::duration_cast<Base::Duration>(keepAlive * usedKeepAliveFraction);
    idle.push_back(std::move(connection));
}

void ConnectionPool::closeExpired(Base::TimePoint now)
{
    for (auto& [target, idle] : m_idle)
        std::erase_if(idle, [&](auto& connection) { return now >= connection->usableUntil; });
    std::erase_if(m_idle, [](auto& entry) { return entry.second.empty(); });
}

} // namespace Lavenderloft::Proxy
