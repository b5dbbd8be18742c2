#pragma once

#include "Base/Clock.h"
#include "Dispatch/DispatchState.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Observability/Metrics.h"
#include "Proxy/CallerProtocol.h"
#include "Proxy/ConnectionPool.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <unordered_set>

namespace Lavenderloft::Proxy {

// What all connections of a router share.
struct ProxyContext {
    const CallerProtocol& protocol;
    const Fleet::FleetState& fleet;
    Dispatch::DispatchState& dispatch;
    const Base::Clock& clock;
    Observability::Metrics& metrics;
    // Connections are closed after the answer under way.
    std::atomic<bool> draining { false };
    // Too late before the end of the process to begin a request: it is refused.
    std::atomic<bool> closing { false };
    // Requests that were read and not yet answered.
    std::atomic<size_t> openRequests { 0 };
};

// What the connections of one event loop share.
struct ProxyWorker {
    boost::asio::io_context& context;
    ConnectionPool connections;
    // Connections of callers that wait for the next request.
    std::unordered_set<boost::beast::tcp_stream*> idleCallers;
};

} // namespace Lavenderloft::Proxy
