#include "Peering/StoreFollower.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Events.h"

#include <algorithm>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds listTimeout = 1500ms;
    constexpr std::chrono::milliseconds maximumListTimeout = 6000ms;
    // Between hedges of a listing, which is a large response.
    constexpr std::chrono::milliseconds listHedgeInterval = listTimeout;
    // Between hedges of a watch. With it a router asks the store soon after an outage.
    constexpr std::chrono::milliseconds watchHedgeInterval = 500ms;
    constexpr std::chrono::milliseconds initialBackoff = 150ms;
    constexpr std::chrono::milliseconds maximumBackoff = 1200ms;
    constexpr std::chrono::milliseconds idleCheckInterval = 200ms;

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, Http::Endpoint store, const Fleet::StoreProtocol& protocol, ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls)
    : m_context(context)
    , m_client(context, std::move(store))
    , m_protocol(protocol)
    , m_clock(clock)
    , m_cursor(merger, clock, stalls)
    , m_listTimeout(listTimeout, maximumListTimeout)
{
}

asio::awaitable<void> StoreFollower::run(std::function<bool()> isNeeded)
{
    while (true) {
        if (!isNeeded()) {
            suspend();
            co_await Http::sleepFor(m_context, idleCheckInterval);
            continue;
        }
        m_cursor.resume();
        bool succeeded = false;
        m_hasTimedOut = false;
        if (m_cursor.mustList())
            succeeded = co_await listAll();
        else
            succeeded = co_await waitForChanges();
        recordResult(succeeded);
        if (succeeded && m_cursor.isConfirmationUrgent())
            continue;
        co_await Http::sleepFor(m_context, nextDelay(succeeded));
    }
}

// After a timeout the store has had its time already.
std::chrono::milliseconds StoreFollower::nextDelay(bool succeeded) const
{
    return succeeded || m_hasTimedOut ? StoreCursor::changeBatchDelay : m_backoff;
}

void StoreFollower::suspend()
{
    m_cursor.suspend();
    m_client.disconnect();
}

void StoreFollower::recordResult(bool succeeded)
{
    m_cursor.recordResult(succeeded);
    if (succeeded) {
        m_backoff = 0ms;
        return;
    }
    if (m_hasTimedOut)
        return;
    m_backoff = m_backoff == 0ms ? initialBackoff : std::min(m_backoff * 2, maximumBackoff);
}

bool StoreFollower::conclude(StoreOutcome outcome)
{
    if (outcome == StoreOutcome::Ignored)
        m_client.disconnect();
    if (m_cursor.takeNews() && m_onChange)
        m_onChange();
    return outcome == StoreOutcome::Used;
}

void StoreFollower::recordListFailure(const Http::HttpError& error, Base::TimePoint requestedAt)
{
    m_hasTimedOut = error.kind == Http::HttpErrorKind::TimedOut;
    if (!m_hasTimedOut)
        return;
    m_listTimeout.recordTimeout();
    logUnanswered("list", requestedAt, m_listTimeout.current());
}

void StoreFollower::recordWatchFailure(const Http::HttpError& error, const SentWatch& watch)
{
    m_hasTimedOut = error.kind == Http::HttpErrorKind::TimedOut;
    if (m_hasTimedOut) {
        m_cursor.recordWatchTimeout();
        logUnanswered("watch", watch.requestedAt, m_cursor.timeoutOf(watch));
    }
    m_cursor.recordFailure(error.describe(), watch.requestedAt);
    m_client.disconnect();
}

void StoreFollower::logUnanswered(std::string_view request, Base::TimePoint requestedAt, std::chrono::milliseconds nextTimeout) const
{
    auto now = m_clock.now();
    auto elapsed = [&](Base::TimePoint since) { return std::chrono::duration_cast<std::chrono::milliseconds>(now - since); };
    auto sinceAnswer = m_answeredAt ? std::to_string(elapsed(*m_answeredAt).count()) : std::string();
    Observability::logEvent(Events::storeRequestUnanswered, { { "request", request }, { "waited", elapsed(requestedAt) }, { "since_answer", sinceAnswer }, { "next_timeout", nextTimeout } });
}

asio::awaitable<bool> StoreFollower::listAll()
{
    auto listing = m_cursor.startListing();
    auto outcome = StoreOutcome::MorePages;
    while (outcome == StoreOutcome::MorePages) {
        auto pageRequestedAt = m_clock.now();
        auto request = m_protocol.listRequest(listing.lastKey());
        auto hedge = [&] {
            pageRequestedAt = m_clock.now();
            return request;
        };
        Http::HedgeTimes times { m_listTimeout.current(), listTimeout, listHedgeInterval };
        auto result = co_await m_client.call(request, hedge, times);
        if (!Base::succeeded(result)) {
            auto& error = Base::errorOf(result);
            recordListFailure(error, listing.requestedAt);
            m_cursor.recordFailure(error.describe(), listing.requestedAt);
            co_return false;
        }
        m_answeredAt = m_clock.now();
        m_listTimeout.recordResponse(*m_answeredAt - pageRequestedAt);
        outcome = m_cursor.addPage(listing, m_protocol.readList(Base::valueOf(result).response));
    }
    bool isUsed = conclude(outcome);
    co_return isUsed;
}

asio::awaitable<bool> StoreFollower::waitForChanges()
{
    auto watch = m_cursor.nextWatch();
    auto lastProbe = watch;
    auto hedge = [&] {
        lastProbe = m_cursor.nextProbe();
        return m_protocol.watchRequest(lastProbe.after, lastProbe.wait);
    };
    auto request = m_protocol.watchRequest(watch.after, watch.wait);
    Http::HedgeTimes times { m_cursor.timeoutOf(watch), m_cursor.hedgeDelayOf(watch), watchHedgeInterval };
    auto result = co_await m_client.call(request, hedge, times);
    if (!Base::succeeded(result)) {
        recordWatchFailure(Base::errorOf(result), watch);
        co_return false;
    }
    m_answeredAt = m_clock.now();
    auto& [response, isOfProbe] = Base::valueOf(result);
    if (isOfProbe) {
        m_cursor.recordFailure("no answer to a watch", watch.requestedAt);
        m_cursor.abandonWatch();
        watch = lastProbe;
    }
    watch.responseBytes = response.body.size();
    bool isUsed = conclude(m_cursor.applyChanges(m_protocol.readChanges(response), watch));
    co_return isUsed;
}

} // namespace Lavenderloft::Peering
