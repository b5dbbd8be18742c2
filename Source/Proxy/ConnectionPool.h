#pragma once

#include "Proxy/TargetConnection.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Proxy {

// Idle connections to targets by target id. Used on one event loop.
class ConnectionPool {
public:
    // Used if the target's response has no keep-alive timeout.
    static constexpr std::chrono::seconds defaultKeepAlive { 4 };
    static constexpr size_t maximumIdlePerTarget = 6;

    // Returns the most recently used connection that is reusable and has not been idle for longer; null if there is none.
    std::unique_ptr<TargetConnection> take(const std::string& targetId, Base::Duration maximumIdle, Base::TimePoint now);

    // Keeps a connection whose last response was read completely.
    void put(std::unique_ptr<TargetConnection>, Base::Duration keepAlive, Base::TimePoint now);

    void closeExpired(Base::TimePoint now);

private:
    std::unordered_map<std::string, std::vector<std::unique_ptr<TargetConnection>>> m_idle;
};

} // namespace Lavenderloft::Proxy
