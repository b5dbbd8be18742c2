#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Base/Clock.h"
#include "Fleet/StoreProtocol.h"
#include "Http/HedgedHttpClient.h"
#include "Peering/StoreCursor.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Peering {

// Follows the items of the store: lists all of them once, then watches for changes. Sends the requests that
// StoreCursor decides on; rejected ones are retried with exponential backoff. How long a request is waited for and how often
// the store is asked are two things: a slow store is given time, and one that has lost the request in an outage is asked again
// over another connection at a fixed interval.
class StoreFollower {
public:
    StoreFollower(boost::asio::io_context&, Http::Endpoint store, const Fleet::StoreProtocol&, ItemMerger&, const Base::Clock&, const Base::StallMonitor&);

    // Called after items from the store were merged.
    void setChangeHandler(std::function<void()> handler) { m_onChange = std::move(handler); }

    // Runs until the event loop ends. While `isNeeded` returns false, no requests are sent to the store, because other
    // nodes relay the published items.
    boost::asio::awaitable<void> run(std::function<bool()> isNeeded);

    // When this node last had all changes from the store; nullopt while the store is not followed or does not respond.
    std::optional<Base::TimePoint> syncedAt() const { return m_cursor.syncedAt(); }

private:
    boost::asio::awaitable<bool> listAll();
    boost::asio::awaitable<bool> waitForChanges();
    void suspend();
    // Whether the response was used.
    bool conclude(StoreOutcome);
    void recordResult(bool succeeded);
    std::chrono::milliseconds nextDelay(bool succeeded) const;
    void recordListFailure(const Http::HttpError&, Base::TimePoint requestedAt);
    void recordWatchFailure(const Http::HttpError&, const SentWatch&);
    void logUnanswered(std::string_view request, Base::TimePoint requestedAt, std::chrono::milliseconds nextTimeout) const;

    boost::asio::io_context& m_context;
    Http::HedgedHttpClient m_client;
    const Fleet::StoreProtocol& m_protocol;
    const Base::Clock& m_clock;
    StoreCursor m_cursor;
    Base::AdaptiveTimeout m_listTimeout;
    std::function<void()> m_onChange;
    std::chrono::milliseconds m_backoff { 0 };
    // The last request was not answered in time.
    bool m_hasTimedOut = false;
    // When the store last answered a request; empty until then.
    std::optional<Base::TimePoint> m_answeredAt;
};

} // namespace Lavenderloft::Peering
