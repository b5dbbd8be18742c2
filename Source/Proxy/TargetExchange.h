#pragma once

#include "Dispatch/Queries/DecideRetry.h"
#include "Proxy/DisconnectMonitor.h"
#include "Proxy/ProxyContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Proxy {

// One attempt of a request at a target: sends the request and reads the response. Used on one event loop.
class TargetExchange {
public:
    struct Response {
        unsigned status = 0;
        Http::HttpHeaders headers;
        ResponseHead head;
    };

    // How the attempt failed; nothing on success.
    using Failure = std::optional<Dispatch::Queries::AttemptEnd>;

    // The request id is empty if the caller sent none.
    TargetExchange(ProxyContext&, ProxyWorker&, DisconnectMonitor&, const Fleet::KnownTarget&, std::string requestId);
    // Resets a connection that still carries the request.
    ~TargetExchange();

    // Sends the request over a pooled or a new connection. The body is taken from where it is held, because it may be large
    // and its target slow. After the given time nothing is written any more.
    boost::asio::awaitable<Failure> send(const Http::HttpRequest& head, std::string_view body, bool mayRetry, Base::TimePoint until);

    // Reads the head of the response; skips responses to other requests.
    boost::asio::awaitable<Failure> readHead(bool isHeadRequest, Base::TimePoint until);

    const Response& response() const { return m_response; }

    // Appends the next available bytes of the body; appends nothing at its end.
    boost::asio::awaitable<Failure> readBody(std::string& bytes, Base::TimePoint until);

    // Reads and discards the rest of the body. Fails if it is longer or not complete in time.
    boost::asio::awaitable<Failure> discardBody(size_t maximumBytes, Base::TimePoint until);

    bool isComplete() const { return m_parser && m_parser->is_done(); }

    // Ends the pending operation, which then fails, and lets later ones fail until goOn(). An operation whose result is
    // already on its way succeeds.
    void cancel();
    void goOn() { m_isCancelled = false; }

    // Returns the connection to the pool if the response was complete, and resets it otherwise.
    void releaseConnection();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<Failure> connect(Base::TimePoint until);
    void resetConnection();
    // Has pending operations on the connection cancelled when the caller disconnects.
    void cancelOnDisconnect();
    boost::asio::awaitable<Failure> readOneHead(bool isHeadRequest, Base::TimePoint until);
    // Whether the response that is being read surely belongs to this request.
    bool isOwnResponse() const;
    Base::Duration timeUntil(Base::TimePoint) const;
    Failure describeFailure(const boost::system::error_code&) const;

    ProxyContext& m_context;
    ProxyWorker& m_worker;
    DisconnectMonitor& m_disconnectMonitor;
    const Fleet::KnownTarget& m_target;
    std::string m_requestId;
    std::unique_ptr<TargetConnection> m_connection;
    bool m_isCancelled = false;
    // A response on the connection may belong to an earlier request.
    bool m_mayReadOtherResponses = false;
    std::optional<Parser> m_parser;
    Response m_response;
    // Ends before the members that the registered function uses.
    CancelRegistration m_cancelRegistration;
};

} // namespace Lavenderloft::Proxy
