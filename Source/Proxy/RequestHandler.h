#pragma once

#include "Dispatch/Commands/RecordOutcome.h"
#include "Observability/Event.h"
#include "Proxy/CallerWatch.h"
#include "Proxy/EventSplitter.h"
#include "Proxy/PlaceWaiter.h"
#include "Proxy/ProxyContext.h"
#include "Proxy/TargetExchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <string>

namespace Lavenderloft::Proxy {

// One request of a caller, from its head to the end of the answer.
class RequestHandler {
public:
    RequestHandler(ProxyContext&, ProxyWorker&, boost::beast::tcp_stream& caller, Http::HttpRequest, bool keepAlive);

    // Answers the request. Returns whether the caller's connection can serve another one.
    boost::asio::awaitable<bool> run();

private:
    using AttemptEnd = Dispatch::Queries::AttemptEnd;

    // How an attempt that reached a place ended.
    struct AttemptOutcome {
        // The caller has its answer, or can't get one any more.
        bool finished = false;
        AttemptEnd end = AttemptEnd::Broken;
        Dispatch::Commands::AttemptResult result {};
        // Status of the target's answer, if there was one.
        unsigned status = 0;
    };

    // Finds route and organisation. Returns false if the request was answered with a denial.
    boost::asio::awaitable<bool> resolve();
    void prepareTraits();

    boost::asio::awaitable<std::optional<PlaceWaiter::Outcome>> acquire();
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<AttemptOutcome> attempt(const Dispatch::Lease&);
    boost::asio::awaitable<AttemptOutcome> relay(TargetExchange&);
    boost::asio::awaitable<AttemptOutcome> relayWhole(TargetExchange&);
    boost::asio::awaitable<AttemptOutcome> relayEvents(TargetExchange&);
    Http::HttpRequest forwardedRequest(const Dispatch::Lease&) const;

    AttemptOutcome failed(AttemptEnd, unsigned status = 0) const;
    AttemptOutcome finishedAs(Dispatch::Commands::AttemptResult) const;

    boost::asio::awaitable<bool> writeToCaller(std::string_view bytes);
    boost::asio::awaitable<void> answer(unsigned status, const char* code, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    boost::asio::awaitable<void> refuse(const Dispatch::Refusal&);
    // Ends a request that was sent and has no answer.
    boost::asio::awaitable<void> fail(AttemptEnd);

    void logFinished(const Observability::Event&, unsigned status, std::string_view reason);
    void countFinished(const Observability::Event&, std::string_view reason);
    std::chrono::milliseconds elapsed() const;
    std::chrono::milliseconds timeLeft() const;
    bool mayRepeat() const { return m_traits.route->mayRepeat(); }

    ProxyContext& m_context;
    ProxyWorker& m_worker;
    boost::beast::tcp_stream& m_caller;
    Http::HttpRequest m_request;
    RequestHead m_head;
    bool m_keepAlive;
    std::shared_ptr<CallerWatch> m_watch;
    std::shared_ptr<const Fleet::FleetSnapshot> m_snapshot;
    std::shared_ptr<const Fleet::Organisation> m_organisation;
    Dispatch::RequestTraits m_traits;
    Dispatch::Queries::RequestHistory m_history;
    // Some target received the request, so that sending it again counts against the budget.
    bool m_reachedTarget = false;
    bool m_headSent = false;
    bool m_finished = false;
    std::string m_lastTarget;
    // Why the request was not sent again; empty if it was not refused that.
    std::string_view m_repeatRefusal;
    std::chrono::milliseconds m_waited { 0 };
    // From the arrival of the request to the first byte of the answer's body.
    std::chrono::milliseconds m_firstByte { 0 };
    // Requests at the last target when this one was sent there.
    unsigned m_occupancy = 0;
    EventSplitter m_events;
};

} // namespace Lavenderloft::Proxy
