#pragma once

#include "Http/PersistentHttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace Lavenderloft::Http {

// Times of a hedged call.
struct HedgeTimes {
    // Of the whole call, and of connecting and the exchange of each request.
    std::chrono::milliseconds timeout { 0 };
    // Until the first hedge is sent, if nothing of the response has arrived.
    std::chrono::milliseconds delay { 0 };
    // Between hedges. One that has brought nothing in this time is replaced by the next.
    std::chrono::milliseconds interval { 0 };
};

// Calls one server that may never answer a request although it answers later ones, because it lost the request in an outage or
// its connection fell silent. While nothing of the response arrives, a second request, the hedge, is sent over another
// connection again and again; the first complete response counts, and the other request is abandoned. Must be used by one
// coroutine at a time.
class HedgedHttpClient {
public:
    // Returns the hedge that is sent now.
    using HedgeProvider = std::function<HttpRequest()>;

    struct Response {
        HttpResponse response;
        // The last hedge was answered, not the request.
        bool isOfHedge = false;
    };

    HedgedHttpClient(boost::asio::io_context&, Endpoint);
    ~HedgedHttpClient();

    // Returns the error of the request if neither it nor a hedge is answered within the timeout. The connection of the
    // response is kept for the next call.
    boost::asio::awaitable<Base::Result<Response, HttpError>> call(HttpRequest, HedgeProvider, HedgeTimes);

    void disconnect();

private:
    struct Exchange;
    struct Attempts;
    using ExchangePointer = std::shared_ptr<Exchange>;

    ExchangePointer start(std::unique_ptr<PersistentHttpClient>, HttpRequest, std::chrono::milliseconds timeout);
    std::unique_ptr<PersistentHttpClient> newConnection() const;
    boost::asio::awaitable<void> waitForEnd(std::chrono::milliseconds);
    void sendHedgeIfSilent(Attempts&, const HedgeProvider&, std::chrono::milliseconds timeout);
    Base::Result<Response, HttpError> conclude(Attempts&);

    boost::asio::io_context& m_context;
    const Endpoint m_endpoint;
    // Used for the next request.
    std::unique_ptr<PersistentHttpClient> m_connection;
    // Cancelled when an exchange ends.
    std::shared_ptr<boost::asio::steady_timer> m_exchangeEnded;
};

} // namespace Lavenderloft::Http
