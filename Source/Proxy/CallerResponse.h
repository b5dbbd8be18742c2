#pragma once

#include "Proxy/EventSplitter.h"
#include "Proxy/ProxyContext.h"
#include "Proxy/ResponseListener.h"
#include "Proxy/TargetExchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Proxy {

// The response to one request of a caller, forwarded from targets or made by this node. It lasts for all attempts of the
// request, because an event stream may be continued at another target.
class CallerResponse {
public:
    // Size up to which a response that is not an event stream is held until it is complete. The request can be retried while
    // nothing of it has been sent.
    static constexpr size_t maximumHeldBytes = 64 * 1024;

    // How forwarding the response of a target ended.
    struct Forwarded {
        // Why the target's response is incomplete; nothing if it is complete or the caller left.
        TargetExchange::Failure failure;
        // The caller disconnected or did not read in time.
        bool callerLeft = false;
    };

    // The method is that of the caller's request.
    CallerResponse(ProxyContext&, boost::beast::tcp_stream& caller, std::string method, bool keepAlive);

    // Ends the time limit for receiving the request.
    void awaitCaller() { m_caller.expires_never(); }

    // Sends a response of this node. Returns false if the caller left.
    boost::asio::awaitable<bool> send(const Http::HttpResponse&);

    // Forwards a response of which some bytes have been read already. A short one is sent once it is complete, a longer one
    // as it arrives.
    boost::asio::awaitable<Forwarded> forward(TargetExchange&, std::string received, Base::TimePoint deadline, ResponseListener&);

    // As above for an event stream: forwards complete events, and only those that the caller does not have yet.
    boost::asio::awaitable<Forwarded> forwardEvents(TargetExchange&, std::string received, Base::TimePoint deadline, ResponseListener&);

    // Closes the connection, so that the caller can detect that the response is incomplete.
    void abort();

    // Whether the caller has received part of a response.
    bool isStarted() const { return m_firstByteAt.has_value(); }
    std::optional<Base::TimePoint> firstByteAt() const { return m_firstByteAt; }
    std::optional<uint64_t> lastEventId() const { return m_events.lastEventId(); }
    // The position from which another target has to continue the event stream.
    const EventSplitter& events() const { return m_events; }

    // Whether another target can continue the event stream.
    bool canContinue() const { return m_events.canContinue(); }

    // Whether the connection can be used for another request.
    bool mayKeepConnection() const { return m_keepAlive; }

private:
    // Decides whether the connection is kept; the head of the response tells the caller.
    bool decideKeepAlive();
    // Starts a response of unknown length; its head is sent with the first part.
    void startParts(const TargetExchange::Response&);
    boost::asio::awaitable<bool> writePart(std::string_view bytes, Base::TimePoint deadline);
    boost::asio::awaitable<bool> writeLastPart(Base::TimePoint deadline);
    boost::asio::awaitable<Forwarded> forwardParts(TargetExchange&, std::string received, Base::TimePoint deadline);
    // Sends the head, if that has not been done, and then the bytes unless the response may not have a body.
    boost::asio::awaitable<bool> writeOfBody(std::string_view bytes, Base::TimePoint deadline);
    boost::asio::awaitable<bool> write(std::string_view bytes, Base::Duration timeout);
    Base::Duration timeUntil(Base::TimePoint) const;

    ProxyContext& m_context;
    boost::beast::tcp_stream& m_caller;
    const std::string m_method;
    bool m_keepAlive;
    std::string m_pendingHead;
    bool m_mayHaveBody = true;
    std::optional<Base::TimePoint> m_firstByteAt;
    EventSplitter m_events;
};

} // namespace Lavenderloft::Proxy
