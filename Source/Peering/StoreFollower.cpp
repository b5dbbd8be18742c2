#include "Peering/StoreFollower.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Events.h"

#include <set>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view storeSource = "store";
    constexpr std::chrono::milliseconds listTimeout = 1500ms;
    constexpr std::chrono::milliseconds maximumListTimeout = 6000ms;
    // How long a watch request waits for a change. Also limits how late a dead connection is detected.
    constexpr std::chrono::milliseconds watchWait = 1600ms;
    // Delay between watch requests, to fetch a burst of changes with one request: the store limits the request rate.
    constexpr std::chrono::milliseconds changeBatchDelay = 150ms;
    // Time for the response in addition to watchWait. The connection is closed after both have passed.
    constexpr std::chrono::milliseconds watchMargin = 1000ms;
    constexpr std::chrono::milliseconds maximumWatchMargin = 4000ms;
    constexpr std::chrono::milliseconds initialBackoff = 150ms;
    constexpr std::chrono::milliseconds maximumBackoff = 1200ms;
    constexpr std::chrono::milliseconds idleCheckInterval = 200ms;
    // How long after an outage targets may need to restore entries that expired during it.
    constexpr std::chrono::milliseconds expiredEntryGracePeriod = 1900ms;
    // Wait of a watch request that measures how long the store takes to respond.
    constexpr std::chrono::milliseconds probeWait = 1ms;
    // Within this response time of the store, the time of an observed change is exact enough.
    constexpr std::chrono::milliseconds maximumExactResponseTime = 500ms;
    // A larger response may be on its way for longer than a probe shows.
    constexpr size_t maximumExactResponseBytes = 64 * 1024;
    // Deletions received later than this after a reconnection did not happen during the outage.
    constexpr std::chrono::milliseconds reconnectWindow = 300ms;

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, Http::Endpoint store, const Fleet::StoreProtocol& protocol, ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls, std::string prefix)
    : m_context(context)
    , m_client(context.get_executor(), std::move(store))
    , m_protocol(protocol)
    , m_merger(merger)
    , m_clock(clock)
    , m_stalls(stalls)
    , m_prefix(std::move(prefix))
    , m_listTimeout(listTimeout, maximumListTimeout)
    , m_watchMargin(watchMargin, maximumWatchMargin)
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
        resume();
        bool succeeded = false;
        if (m_position)
            succeeded = co_await waitForChanges();
        else
            succeeded = co_await listAll();
        recordResult(succeeded);
        if (succeeded && isConfirmationUrgent())
            continue;
        co_await Http::sleepFor(m_context, succeeded ? changeBatchDelay : m_backoff);
    }
}

void StoreFollower::suspend()
{
    m_position.reset();
    m_isFollowing = false;
    m_isWatching = false;
    m_isSuspended = true;
    m_unconfirmed.reset();
    m_client.disconnect();
}

// Continues from the position that other nodes relayed while the store was not followed or did not respond. This saves
// a listing, which would also lack the age of the items. How recent that position is, the merger knows from the reports
// of the followers: the one that this node relied on may itself have waited on a silent connection.
void StoreFollower::resume()
{
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    if (m_isSuspended) {
        m_isSuspended = false;
        if (known > Fleet::StorePosition())
            m_position = known;
    }
    if (m_position && !m_isFollowing)
        m_position = std::max(*m_position, known);
}

void StoreFollower::recordResult(bool succeeded)
{
    m_isFollowing = succeeded;
    m_isWatching = m_isWatching && succeeded;
    m_hasUnconfirmedChanges = m_hasUnconfirmedChanges && succeeded;
    if (succeeded) {
        m_backoff = 0ms;
        return;
    }
    m_unconfirmed.reset();
    m_backoff = m_backoff == 0ms ? initialBackoff : std::min(m_backoff * 2, maximumBackoff);
}

// Without a response, the store may have been up until the timeout, on a connection that fell silent: only the time of
// the request counts. A rejection counts from its arrival.
void StoreFollower::recordFailure(const std::string& reason, Base::TimePoint failedAt)
{
    updateConnection(false, reason);
    m_merger.recordStoreFailure(failedAt);
}

// The store is up, so that items may have been published meanwhile: unlike a failure, this limits no ages. The connection
// may lead to the store as it was before.
void StoreFollower::recordIgnored(const std::string& reason)
{
    updateConnection(false, reason);
    m_client.disconnect();
}

void StoreFollower::recordTimeout(const Http::HttpError& error, Base::AdaptiveTimeout& timeout)
{
    if (error.kind == Http::HttpErrorKind::TimedOut)
        timeout.recordTimeout();
}

// Entries that expired during an outage of the store appear as deletions in its first responses.
std::optional<Base::TimePoint> StoreFollower::deletionsDeferredUntil() const
{
    if (!m_reconnectedAt || m_clock.now() - *m_reconnectedAt > reconnectWindow)
        return std::nullopt;
    return *m_reconnectedAt + expiredEntryGracePeriod;
}

void StoreFollower::updateConnection(bool connected, const std::string& reason)
{
    if (connected == m_connected)
        return;
    m_connected = connected;
    // If other nodes reached the store, there was no outage, so no entries expired because of it.
    if (connected && m_syncedAt && !m_merger.hasRecentRelayedSync())
        m_reconnectedAt = m_clock.now();
    Observability::logEvent(connected ? Events::storeReached : Events::storeLost, { { "prefix", m_prefix }, { "reason", reason } });
}

asio::awaitable<bool> StoreFollower::listAll()
{
    std::vector<std::string> keys;
    std::vector<Fleet::PublishedItem> items;
    std::optional<Fleet::StorePosition> position;
    std::string afterKey;
    m_isWatching = false;
    auto requestedAt = m_clock.now();
    std::set<std::string> lastKeys;
    while (true) {
        auto pageRequestedAt = m_clock.now();
        auto result = co_await m_client.call(m_protocol.listRequest(m_prefix, afterKey), m_listTimeout.current());
        if (!Base::succeeded(result)) {
            recordTimeout(Base::errorOf(result), m_listTimeout);
            recordFailure(Base::errorOf(result).describe(), requestedAt);
            co_return false;
        }
        m_listTimeout.recordResponse(m_clock.now() - pageRequestedAt);
        auto page = m_protocol.readList(Base::valueOf(result));
        if (!Base::succeeded(page)) {
            recordFailure(Base::errorOf(page).describe(), m_clock.now());
            co_return false;
        }
        auto& listed = Base::valueOf(page);
        if (isStale(listed.position)) {
            recordIgnored("a response of an earlier era");
            co_return false;
        }
        if (position && position->era != listed.position.era) {
            recordIgnored("the store returned from an older copy during the listing");
            co_return false;
        }
        // The next page begins after the last key of this one. Without a new last key the listing would never end.
        if (listed.morePages && (listed.items.empty() || !lastKeys.insert(listed.items.back().key).second)) {
            recordFailure("a page of the listing does not continue the previous one", m_clock.now());
            co_return false;
        }
        // The pages are not one snapshot: the listing is complete only up to the position of the first page.
        if (!position)
            position = listed.position;
        for (auto& item : listed.items) {
            keys.push_back(item.key);
            items.push_back(item);
            items.back().age = Fleet::FleetState::unknownAge;
            items.back().ageIsBound = true;
        }
        if (!listed.morePages)
            break;
        afterKey = keys.back();
    }
    updateConnection(true, "listed");
    logEra(*position);
    m_position = position;
    // Items that changed after their page was sent come with the first watch.
    m_syncedAt = requestedAt;
    // The age of items that are new is limited by the previous sync, so this one is recorded afterwards.
    m_merger.apply(std::move(items), *position, deletionsDeferredUntil(), storeSource);
    m_merger.applyListing(m_prefix, keys, *position, deletionsDeferredUntil());
    m_merger.recordSync(*m_syncedAt, storeSource);
    m_isFollowing = true;
    if (m_onChange)
        m_onChange();
    co_return true;
}

// After changes, a watch without a wait tells that these were the last ones.
std::chrono::milliseconds StoreFollower::nextWait() const
{
    return m_hasUnconfirmedChanges ? probeWait : watchWait;
}

// A probe that brings more changes is repeated after changeBatchDelay, so that a burst does not load the store.
bool StoreFollower::isConfirmationUrgent() const
{
    return m_hasUnconfirmedChanges && !m_wasProbe;
}

asio::awaitable<bool> StoreFollower::waitForChanges()
{
    SentWatch watch { m_clock.now(), nextWait(), 0 };
    auto result = co_await m_client.call(m_protocol.watchRequest(m_prefix, m_position->revision, watch.wait), watch.wait + m_watchMargin.current());
    if (!Base::succeeded(result)) {
        recordTimeout(Base::errorOf(result), m_watchMargin);
        recordFailure(Base::errorOf(result).describe(), watch.requestedAt);
        m_client.disconnect();
        co_return false;
    }
    auto batch = m_protocol.readChanges(Base::valueOf(result));
    if (!Base::succeeded(batch)) {
        auto& error = Base::errorOf(batch);
        if (error.kind == Fleet::StoreErrorKind::HistoryLost) {
            discardPosition();
            co_return true;
        }
        recordFailure(error.describe(), m_clock.now());
        co_return false;
    }
    auto position = Base::valueOf(batch).position;
    if (isStale(position)) {
        recordIgnored("a response of an earlier era");
        co_return false;
    }
    // The revision to continue from may have been given out again.
    if (position.era != m_position->era) {
        discardPosition();
        co_return true;
    }
    updateConnection(true, "watching");
    watch.responseBytes = Base::valueOf(result).body.size();
    applyChanges(Base::valueOf(batch), watch);
    co_return true;
}

// All items are listed next.
void StoreFollower::discardPosition()
{
    m_position.reset();
    m_unconfirmed.reset();
    m_hasUnconfirmedChanges = false;
}

// Whether the response was sent before the store returned from an older copy. It must not undo what was published since.
bool StoreFollower::isStale(Fleet::StorePosition position) const
{
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    if (position.era >= known.era)
        return false;
    Observability::logEvent(Events::staleResponseIgnored, { { "prefix", m_prefix }, { "era", position.era }, { "known_era", known.era } });
    return true;
}

void StoreFollower::logEra(Fleet::StorePosition position) const
{
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    if (known > Fleet::StorePosition() && position.era > known.era)
        Observability::logEvent(Events::storeEraChanged, { { "prefix", m_prefix }, { "era", position.era }, { "revision", position.revision }, { "known_era", known.era }, { "known_revision", known.revision } });
}

// Whether the last response was handled as soon as it arrived. The store responds to a waiting request at once, so a
// change is then at most as old as the delay between requests and the store's response time.
bool StoreFollower::observedAtOnce() const
{
    return m_isWatching && m_syncedAt && !m_stalls.hasStalledSince(*m_syncedAt);
}

// Time up to which a response certainly has all items. Without changes the store sent it after the wait, however late it
// arrived. With changes the store may have sent it at any time since the request: how long it was on its way depends on
// its size and on the load of the links, so the response times of others say nothing about it.
Base::TimePoint StoreFollower::syncTime(const Fleet::ChangeBatch& batch, const SentWatch& watch) const
{
    auto waitEnd = watch.requestedAt + watch.wait;
    bool isWaitOver = waitEnd <= m_clock.now();
    return batch.changes.empty() && isWaitOver ? waitEnd : watch.requestedAt;
}

void StoreFollower::recordResponseTime(Base::Duration time)
{
    m_responseTime = time;
    m_watchMargin.recordResponse(time);
}

void StoreFollower::applyChanges(const Fleet::ChangeBatch& batch, const SentWatch& watch)
{
    auto now = m_clock.now();
    if (batch.changes.empty())
        recordResponseTime(std::max(now - watch.requestedAt - watch.wait, Base::Duration::zero()));
    else if (watch.wait == probeWait)
        recordResponseTime(now - watch.requestedAt);
    if (m_unconfirmed)
        confirmObserved();
    bool isObserved = observedAtOnce() && watch.responseBytes <= maximumExactResponseBytes;
    auto changes = batch.changes;
    for (auto& change : changes) {
        change.age = Fleet::FleetState::unknownAge;
        change.ageIsBound = true;
    }
    m_syncedAt = syncTime(batch, watch);
    m_hasUnconfirmedChanges = !changes.empty();
    m_wasProbe = watch.wait == probeWait;
    m_isFollowing = true;
    m_isWatching = true;
    if (!m_hasUnconfirmedChanges && batch.position > *m_position)
        Observability::logEvent(Events::watchSkippedRevisions, { { "prefix", m_prefix }, { "after", m_position->revision }, { "revision", batch.position.revision }, { "era", batch.position.era } });
    m_position = std::max(*m_position, batch.position);
    if (m_hasUnconfirmedChanges) {
        logChanges(changes.size(), watch, now);
        auto declared = m_merger.apply(std::move(changes), *m_position, deletionsDeferredUntil(), storeSource);
        if (isObserved && !declared.empty())
            m_unconfirmed = { std::move(declared), now, m_responseTime };
    }
    m_merger.recordSync(*m_syncedAt, storeSource);
    if (m_hasUnconfirmedChanges && m_onChange)
        m_onChange();
}

void StoreFollower::logChanges(size_t count, const SentWatch& watch, Base::TimePoint now) const
{
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - watch.requestedAt);
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_syncedAt);
    Observability::logEvent(Events::storeResponded, { { "changes", count }, { "revision", m_position->revision }, { "elapsed", elapsed }, { "sync_age", age } });
}

// The change may have come just after the response before was sent, and both responses may have taken as long
// as the one before them or this one.
void StoreFollower::confirmObserved()
{
    auto unconfirmed = std::move(*m_unconfirmed);
    m_unconfirmed.reset();
    auto responseTime = std::max(m_responseTime, unconfirmed.responseTimeBefore);
    if (responseTime > maximumExactResponseTime || m_stalls.hasStalledSince(unconfirmed.receivedAt))
        return;
    auto age = m_clock.now() - unconfirmed.receivedAt + changeBatchDelay + 2 * responseTime;
    for (auto& declaration : unconfirmed.declarations)
        declaration.age = std::chrono::ceil<std::chrono::milliseconds>(age);
    m_merger.applyObserved(unconfirmed.declarations, storeSource);
    if (m_onChange)
        m_onChange();
}

} // namespace Lavenderloft::Peering
