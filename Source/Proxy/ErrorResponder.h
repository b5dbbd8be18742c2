#pragma once

#include "Proxy/CallerResponse.h"
#include "Proxy/ProxyRequest.h"
#include "Proxy/RequestLog.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace Lavenderloft::Proxy {

// Ends a request with a response of the router's own, and logs the outcome.
class ErrorResponder {
public:
    using AttemptEnd = Dispatch::Queries::AttemptEnd;

    // The response and the log must outlive the responder.
    ErrorResponder(std::shared_ptr<ProxyRequest>, CallerResponse&, RequestLog&);

    // Responds to a request that the known configuration does not allow. If a newer configuration should be in force by
    // now but may not have arrived, the request is refused instead.
    boost::asio::awaitable<void> deny(unsigned status, const char* code);

    boost::asio::awaitable<void> refuse(const Dispatch::Refusal&);
    boost::asio::awaitable<void> refuseForMemory();
    boost::asio::awaitable<void> refuseForStop();
    boost::asio::awaitable<void> refuseWithoutConfiguration();

    // Ends a request that gets no other attempt.
    boost::asio::awaitable<void> fail(AttemptEnd);

    // Ends a request because the process stops.
    boost::asio::awaitable<void> endForStop();

private:
    boost::asio::awaitable<void> respond(unsigned status, const char* code, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);

    ProxyContext& m_context;
    std::shared_ptr<ProxyRequest> m_request;
    CallerResponse& m_response;
    RequestLog& m_log;
};

} // namespace Lavenderloft::Proxy
