#pragma once

#include "Base/Clock.h"
#include "Dispatch/DispatchState.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Http/MemoryBudget.h"
#include "Observability/Metrics.h"
#include "Proxy/CallerProtocol.h"
#include "Proxy/ConnectionPool.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <unordered_map>
#include <unordered_set>

namespace Lavenderloft::Proxy {

// Shared by all connections of a router.
struct ProxyContext {
    const CallerProtocol& protocol;
    const Fleet::FleetState& fleet;
    Dispatch::DispatchState& dispatch;
    const Base::Clock& clock;
    Observability::Metrics& metrics;
    Http::MemoryBudget callerMemory { Http::MemoryBudget::defaultLimitBytes };
    // Of callers, open at the same time.
    size_t maximumCallerConnections = 4096;
    // Connections are closed after the response in progress.
    std::atomic<bool> draining { false };
    // The process is about to exit; new requests are refused.
    std::atomic<bool> closing { false };
    // Requests of which a byte was received and that have no complete response yet.
    std::atomic<size_t> openRequests { 0 };
};

// Counts a request as open for as long as this object exists.
class OpenRequest {
public:
    explicit OpenRequest(ProxyContext& context)
        : m_context(context)
    {
        ++m_context.openRequests;
    }

    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;
    ~OpenRequest() { --m_context.openRequests; }

private:
    ProxyContext& m_context;
};

// A request in progress, as the shutdown of the process sees it. Used on its event loop.
class InterruptibleRequest {
public:
    virtual ~InterruptibleRequest() = default;

    // Ends the request with a final response, or visibly breaks off a response that has begun.
    virtual void endForStop() = 0;

    // Closes the connection of the caller if the request has not ended.
    virtual void cutForStop() = 0;
};

// Shared by the connections of one event loop.
struct ProxyWorker {
    boost::asio::io_context& context;
    ConnectionPool connections;
    // Connections to callers that are waiting for the next request, with the start of the wait.
    std::unordered_map<boost::beast::tcp_stream*, Base::TimePoint> idleCallers;
    std::unordered_set<InterruptibleRequest*> openRequests;
};

} // namespace Lavenderloft::Proxy
