#pragma once

#include "Dispatch/Queries/DecideRetry.h"
#include "Dispatch/RequestTraits.h"
#include "Proxy/DisconnectMonitor.h"
#include "Proxy/ProxyContext.h"

#include <algorithm>
#include <chrono>
#include <memory>

namespace Lavenderloft::Proxy {

// A caller's request and what its attempts have led to. Shared by the handler of the request and its attempts, of which two
// may go on at the same time. Used on one event loop.
struct ProxyRequest {
    ProxyRequest(ProxyContext& context, ProxyWorker& worker, boost::asio::ip::tcp::socket& caller, Http::HttpRequest received)
        : context(context)
        , worker(worker)
        , loop(worker.context)
        , disconnectMonitor(std::make_shared<DisconnectMonitor>(caller))
        , message(std::move(received))
        , head(context.protocol.readRequestHead(message.headers))
        , partMemory(context.callerMemory)
    {
    }

    Base::TimePoint now() const { return context.clock.now(); }

    // Whether the event loop has ended. What the request refers to may then be gone.
    bool isLoopStopped() const { return loop.stopped(); }

    bool callerDisconnected() const { return disconnectMonitor->callerDisconnected(); }

    bool isRepeatable() const { return traits.route->isRepeatable(); }

    // At least a millisecond, because zero would mean that there is no deadline.
    std::chrono::milliseconds timeLeft() const
    {
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(traits.deadline - now());
        return std::max(left, std::chrono::milliseconds(1));
    }

    ProxyContext& context;
    ProxyWorker& worker;
    boost::asio::io_context& loop;
    std::shared_ptr<DisconnectMonitor> disconnectMonitor;
    Http::HttpRequest message;
    RequestHead head;
    // Of the parts of the prompt, which may take several times the memory of the head.
    Http::MemoryReservation partMemory;
    // As of the arrival of the request.
    std::shared_ptr<const Fleet::FleetSnapshot> snapshot;
    std::optional<Fleet::Completeness> completeness;
    std::shared_ptr<const Fleet::Organisation> organisation;
    Dispatch::RequestTraits traits;
    Dispatch::Queries::RequestHistory history;
    // Some target received the request, so retries are charged to the retry budget.
    bool reachedTarget = false;
};

} // namespace Lavenderloft::Proxy
