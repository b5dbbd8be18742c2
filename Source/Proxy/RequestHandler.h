#pragma once

#include "Dispatch/Commands/RecordOutcome.h"
#include "Observability/Event.h"
#include "Proxy/CallerResponse.h"
#include "Proxy/DisconnectMonitor.h"
#include "Proxy/LeaseWaiter.h"
#include "Proxy/ProxyContext.h"
#include "Proxy/TargetExchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>

namespace Lavenderloft::Proxy {

// Handles one request of a caller, from its head to the end of the response.
class RequestHandler {
public:
    RequestHandler(ProxyContext&, ProxyWorker&, boost::beast::tcp_stream& caller, Http::HttpRequest, bool keepAlive);
    ~RequestHandler();

    // Sends the response. Returns whether the caller's connection can be used for another request.
    boost::asio::awaitable<bool> run();

    // Refuses the request, because there is no memory for its body. The rest of the request is not read, so the connection
    // can't be used again.
    boost::asio::awaitable<void> refuseForMemory();

private:
    using AttemptEnd = Dispatch::Queries::AttemptEnd;

    // Outcome of an attempt with a lease.
    struct AttemptOutcome {
        // The caller has its response, or can no longer receive one.
        bool finished = false;
        AttemptEnd end = AttemptEnd::Broken;
        Dispatch::Commands::AttemptResult result {};
        // Status of the target's response; zero if there was none.
        unsigned status = 0;
    };

    // Finds the route and organisation. Returns false if the request was rejected and the response has been sent.
    boost::asio::awaitable<bool> resolve();
    void prepareTraits();
    // Counts events of the current attempt. Once it goes on to write, its prompt cannot have crashed the target.
    void countEvents();
    // Records what the end of the attempt says of the parts of the prompt.
    void recordEvidence(const AttemptOutcome&, const std::string& target);

    boost::asio::awaitable<std::optional<LeaseWaiter::Outcome>> acquire();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<AttemptOutcome> attempt(const Dispatch::Lease&);
    boost::asio::awaitable<AttemptOutcome> relay(TargetExchange&);
    boost::asio::awaitable<AttemptOutcome> forward(TargetExchange&);
    boost::asio::awaitable<AttemptOutcome> forwardEvents(TargetExchange&);
    AttemptOutcome outcomeOf(const CallerResponse::Forwarded&, unsigned status, std::string_view reason);
    // The request that the target gets, without its body.
    Http::HttpRequest forwardedHead(const Dispatch::Lease&) const;

    AttemptOutcome failedAs(AttemptEnd, unsigned status = 0) const;
    AttemptOutcome finishedAs(Dispatch::Commands::AttemptResult) const;

    boost::asio::awaitable<void> respondWithError(unsigned status, const char* code, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    // Responds to a request that the known configuration does not allow. If a newer configuration should be in force by
    // now but may not have arrived, the request is refused instead.
    boost::asio::awaitable<void> deny(unsigned status, const char* code);
    boost::asio::awaitable<void> respondWithRefusal(const Dispatch::Refusal&);
    // Ends a request whose last attempt failed.
    boost::asio::awaitable<void> respondWithFailure(AttemptEnd);

    void recordStatement(const Fleet::TargetEntry&, const Dispatch::TargetStatement&);

    // Keeps what the log says of an attempt.
    void recordLease(const Dispatch::Lease&);
    void logFailedAttempt(const AttemptOutcome&, bool retry);
    void logFinished(const Observability::Event&, unsigned status, std::string_view reason);
    void countFinished(const Observability::Event&, std::string_view reason);
    std::chrono::milliseconds elapsed() const;
    // From the arrival of the request to the first byte of the response body; zero without one.
    std::chrono::milliseconds timeToFirstByte() const;
    std::chrono::milliseconds timeLeft() const;
    // Since the current attempt began or its last complete event arrived.
    std::chrono::milliseconds silentFor() const;
    // When a request that has no response yet is withdrawn from its target.
    Base::TimePoint withdrawnBy(const Dispatch::Lease&) const;
    // When the request is retried at another target unless the awaited part of the response arrives.
    Base::TimePoint retryTime() const;
    bool mayRetry() const { return m_traits.route->isRepeatable(); }

    ProxyContext& m_context;
    OpenRequest m_openRequest;
    ProxyWorker& m_worker;
    boost::beast::tcp_stream& m_caller;
    Http::HttpRequest m_request;
    RequestHead m_head;
    CallerResponse m_response;
    std::shared_ptr<DisconnectMonitor> m_disconnectMonitor;
    std::shared_ptr<const Fleet::FleetSnapshot> m_snapshot;
    std::shared_ptr<const Fleet::Organisation> m_organisation;
    Dispatch::RequestTraits m_traits;
    Dispatch::Queries::RequestHistory m_history;
    // Some target received the request, so retries are charged to the retry budget.
    bool m_reachedTarget = false;
    // The outcome of the request has been logged.
    bool m_finished = false;
    // How often events of the current attempt arrived.
    unsigned m_eventArrivals = 0;
    // When the current attempt began, or the last of its events arrived.
    Base::TimePoint m_lastHeardAt {};
    std::string m_lastTarget;
    // Why a retry was refused; empty if none was.
    std::string_view m_retryRefusal;
    std::chrono::milliseconds m_waited { 0 };
    // Requests at the last target when this request was sent there.
    unsigned m_occupancy = 0;
    // Weights version that the last target was required to hold; zero if any version was allowed.
    uint64_t m_expectedWeights = 0;
};

} // namespace Lavenderloft::Proxy
