#pragma once

#include "Dispatch/Queries/DecideRetry.h"
#include "Proxy/CallerWatch.h"
#include "Proxy/ProxyContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

namespace Lavenderloft::Proxy {

// One attempt of a request at a target: sends it and reads the answer. Used on one event loop.
class TargetExchange {
public:
    struct Answer {
        unsigned status = 0;
        Http::HttpHeaders headers;
        ResponseHead head;
    };

    // Nothing went wrong, or how the attempt ended.
    using Failure = std::optional<Dispatch::Queries::AttemptEnd>;

    TargetExchange(ProxyContext&, ProxyWorker&, CallerWatch&, const Fleet::KnownTarget&);

    // Sends the request over a kept or a new connection.
    boost::asio::awaitable<Failure> send(const Http::HttpRequest&, bool mayRepeat, Base::TimePoint deadline);

    // Reads the head of the answer to the request; answers to others are left out.
    boost::asio::awaitable<Failure> readHead(const std::string& requestId, bool isHeadRequest, Base::TimePoint until);

    const Answer& answer() const { return m_answer; }

    // Reads what has arrived of the body; nothing is appended at its end.
    boost::asio::awaitable<Failure> readBody(std::string& bytes, Base::TimePoint until);

    bool isComplete() const { return m_parser && m_parser->is_done(); }

    // Keeps the connection for the next request if the answer was whole, and closes it otherwise.
    void finish();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<Failure> connect(Base::TimePoint deadline);
    boost::asio::awaitable<Failure> readOneHead(bool isHeadRequest, Base::TimePoint until);
    boost::asio::awaitable<Failure> skipBody(Base::TimePoint until);
    Base::Duration timeUntil(Base::TimePoint) const;
    Failure describeFailure(const boost::system::error_code&) const;

    ProxyContext& m_context;
    ProxyWorker& m_worker;
    CallerWatch& m_watch;
    const Fleet::KnownTarget& m_target;
    std::unique_ptr<TargetConnection> m_connection;
    std::optional<Parser> m_parser;
    Answer m_answer;
};

} // namespace Lavenderloft::Proxy
