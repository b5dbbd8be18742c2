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
    constexpr std::chrono::milliseconds initialBackoff = 150ms;
    constexpr std::chrono::milliseconds maximumBackoff = 1200ms;
    constexpr std::chrono::milliseconds idleCheckInterval = 200ms;

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, Http::Endpoint store, const Fleet::StoreProtocol& protocol, ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls)
    : m_context(context)
    , m_client(context.get_executor(), std::move(store))
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
        if (m_cursor.mustList())
            succeeded = co_await listAll();
        else
            succeeded = co_await waitForChanges();
        recordResult(succeeded);
        if (succeeded && m_cursor.isConfirmationUrgent())
            continue;
        co_await Http::sleepFor(m_context, succeeded ? StoreCursor::changeBatchDelay : m_backoff);
    }
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

void StoreFollower::recordListTimeout(const Http::HttpError& error)
{
    if (error.kind == Http::HttpErrorKind::TimedOut)
        m_listTimeout.recordTimeout();
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
        auto result = co_await m_client.call(m_protocol.listRequest(listing.lastKey()), m_listTimeout.current());
        if (!Base::succeeded(result)) {
            recordListTimeout(Base::errorOf(result));
            if (Base::errorOf(result).kind == Http::HttpErrorKind::TimedOut)
                logUnanswered("list", pageRequestedAt, m_listTimeout.current());
            m_cursor.recordFailure(Base::errorOf(result).describe(), listing.requestedAt);
            co_return false;
        }
        m_answeredAt = m_clock.now();
        m_listTimeout.recordResponse(*m_answeredAt - pageRequestedAt);
        outcome = m_cursor.addPage(listing, m_protocol.readList(Base::valueOf(result)));
    }
    bool isUsed = conclude(outcome);
    co_return isUsed;
}

asio::awaitable<bool> StoreFollower::waitForChanges()
{
    auto watch = m_cursor.nextWatch();
    auto result = co_await m_client.call(m_protocol.watchRequest(watch.after, watch.wait), m_cursor.timeoutOf(watch));
    if (!Base::succeeded(result)) {
        if (Base::errorOf(result).kind == Http::HttpErrorKind::TimedOut) {
            m_cursor.recordWatchTimeout();
            logUnanswered("watch", watch.requestedAt, m_cursor.timeoutOf(watch));
        }
        m_cursor.recordFailure(Base::errorOf(result).describe(), watch.requestedAt);
        m_client.disconnect();
        co_return false;
    }
    m_answeredAt = m_clock.now();
    watch.responseBytes = Base::valueOf(result).body.size();
    bool isUsed = conclude(m_cursor.applyChanges(m_protocol.readChanges(Base::valueOf(result)), watch));
    co_return isUsed;
}

} // namespace Lavenderloft::Peering
