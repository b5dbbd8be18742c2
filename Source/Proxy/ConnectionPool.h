#pragma once

#include "Proxy/TargetConnection.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Proxy {

// Idle connections to targets, by target id. Belongs to one event loop.
class ConnectionPool {
public:
    // Where a target does not say how long it keeps an idle connection, this is assumed.
    static constexpr std::chrono::seconds defaultKeepAlive { 4 };
    static constexpr size_t maximumIdlePerTarget = 6;

    // The connection that was used last, if one is left that looks alive and has been idle for no longer.
    std::unique_ptr<TargetConnection> take(const std::string& targetId, Base::Duration longestIdle, Base::TimePoint now);

    // Keeps a connection whose last answer was read whole.
    void put(std::unique_ptr<TargetConnection>, Base::Duration keepAlive, Base::TimePoint now);

    // Closes what has been idle for too long.
    void closeExpired(Base::TimePoint now);

private:
    std::unordered_map<std::string, std::vector<std::unique_ptr<TargetConnection>>> m_idle;
};

} // namespace Lavenderloft::Proxy
