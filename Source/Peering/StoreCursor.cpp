#include "Peering/StoreCursor.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Observability/Log.h"
#include "Peering/Events.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    constexpr std::string_view storeSource = "store";
    // Prefix of all keys.
    constexpr std::string_view allKeys = "";
    // How long a watch request waits for a change. Also limits how late a dead connection is detected.
    constexpr std::chrono::milliseconds watchWait = 1600ms;
    // Time for the response in addition to watchWait. The connection is closed after both have passed.
    constexpr std::chrono::milliseconds watchMargin = 1000ms;
    constexpr std::chrono::milliseconds maximumWatchMargin = 4000ms;
    // Time beyond the wait within which a store that is not slow responds to a watch.
    constexpr std::chrono::milliseconds minimumHedgeMargin = 400ms;
    // Ratio of that time to the last response time.
    constexpr int hedgeMarginFactor = 2;
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

StoreCursor::StoreCursor(ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls)
    : m_merger(merger)
    , m_clock(clock)
    , m_stalls(stalls)
    , m_watchMargin(watchMargin, maximumWatchMargin)
{
}

void StoreCursor::suspend()
{
    m_position.reset();
    m_isFollowing = false;
    m_isWatching = false;
    m_isSuspended = true;
    m_unconfirmed.reset();
}

// Continues from the position that other nodes relayed while the store was not followed or did not respond. This saves
// a listing, which would also lack the age of the items. How recent that position is, the merger knows from the reports
// of the followers: the one that this node relied on may itself have waited on a silent connection.
void StoreCursor::resume()
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

void StoreCursor::recordResult(bool succeeded)
{
    m_isFollowing = succeeded;
    m_isWatching = m_isWatching && succeeded;
    m_hasUnconfirmedChanges = m_hasUnconfirmedChanges && succeeded;
    if (!succeeded)
        m_unconfirmed.reset();
}

// Without a response, the store may have been up until the timeout, on a connection that fell silent: only the time of
// the request counts. A rejection counts from its arrival.
void StoreCursor::recordFailure(const std::string& reason, Base::TimePoint failedAt)
{
    updateConnection(false, reason);
    m_merger.recordStoreFailure(failedAt);
}

StoreOutcome StoreCursor::fail(const std::string& reason)
{
    recordFailure(reason, m_clock.now());
    return StoreOutcome::Failed;
}

// The store is up, so that items may have been published meanwhile: unlike a failure, this limits no ages.
StoreOutcome StoreCursor::ignore(const std::string& reason)
{
    updateConnection(false, reason);
    return StoreOutcome::Ignored;
}

// Entries that expired during an outage of the store appear as deletions in its first responses.
std::optional<Base::TimePoint> StoreCursor::deletionsDeferredUntil() const
{
    if (!m_reconnectedAt || m_clock.now() - *m_reconnectedAt > reconnectWindow)
        return std::nullopt;
    return *m_reconnectedAt + expiredEntryGracePeriod;
}

void StoreCursor::updateConnection(bool connected, const std::string& reason)
{
    if (connected == m_connected)
        return;
    m_connected = connected;
    // If other nodes reached the store, there was no outage, so no entries expired because of it.
    if (connected && m_syncedAt && !m_merger.hasRecentRelayedSync())
        m_reconnectedAt = m_clock.now();
    Observability::logEvent(connected ? Events::storeReached : Events::storeLost, { { "prefix", allKeys }, { "reason", reason } });
}

StoreListing StoreCursor::startListing()
{
    m_isWatching = false;
    StoreListing listing;
    listing.requestedAt = m_clock.now();
    return listing;
}

StoreOutcome StoreCursor::addPage(StoreListing& listing, const Page& result)
{
    if (!Base::succeeded(result))
        return fail(Base::errorOf(result).describe());
    auto& page = Base::valueOf(result);
    if (isStale(page.position))
        return ignore("a response of an earlier era");
    if (!m_merger.isPlausible(page.position, storeSource))
        return ignore("a response of an implausible era");
    if (listing.position && listing.position->era != page.position.era)
        return ignore("the store returned from an older copy during the listing");
    // The next page begins after the last key of this one. Without a new last key the listing would never end.
    if (page.morePages && (page.items.empty() || !listing.lastKeys.insert(page.items.back().key).second))
        return fail("a page of the listing does not continue the previous one");
    // The pages are not one snapshot: the listing is complete only up to the position of the first page.
    if (!listing.position)
        listing.position = page.position;
    for (auto& item : page.items) {
        listing.keys.push_back(item.key);
        listing.items.push_back(item);
        listing.items.back().age = Fleet::FleetState::unknownAge;
        listing.items.back().ageIsBound = true;
    }
    if (page.morePages)
        return StoreOutcome::MorePages;
    mergeListing(listing);
    return StoreOutcome::Used;
}

void StoreCursor::mergeListing(StoreListing& listing)
{
    updateConnection(true, "listed");
    logEra(*listing.position);
    m_position = listing.position;
    // Items that changed after their page was sent come with the first watch.
    m_syncedAt = listing.requestedAt;
    m_syncedEra = m_position->era;
    // The age of items that are new is limited by the previous sync, so this one is recorded afterwards.
    m_merger.apply(std::move(listing.items), *m_position, deletionsDeferredUntil(), storeSource);
    m_merger.applyListing(std::string(allKeys), listing.keys, *m_position, deletionsDeferredUntil());
    m_merger.recordSync(*m_syncedAt, storeSource);
    m_isFollowing = true;
    m_hasNews = true;
}

// After changes, a watch without a wait tells that these were the last ones, and after a failure, whether the store responds.
SentWatch StoreCursor::nextWatch() const
{
    bool isProbe = m_hasUnconfirmedChanges || !m_connected;
    return { m_clock.now(), isProbe ? probeWait : watchWait, m_position->revision };
}

SentWatch StoreCursor::nextProbe() const
{
    return { m_clock.now(), probeWait, m_position->revision };
}

// Follows the responses that arrived, not the timeouts, which an outage makes longer.
std::chrono::milliseconds StoreCursor::hedgeDelayOf(const SentWatch& watch) const
{
    auto usual = std::chrono::ceil<std::chrono::milliseconds>(m_responseTime * hedgeMarginFactor);
    return watch.wait + std::clamp(usual, minimumHedgeMargin, m_watchMargin.current());
}

// A probe that brings more changes is repeated after the usual delay, so that a burst does not load the store.
bool StoreCursor::isConfirmationUrgent() const
{
    return m_hasUnconfirmedChanges && !m_wasProbe;
}

// What was published in an earlier era may have been lost, and is not relayed with the positions of the later one.
std::optional<Base::TimePoint> StoreCursor::syncedAt() const
{
    bool isOfKnownEra = m_syncedEra == Fleet::Queries::knownPosition(m_merger.fleet()).era;
    return m_isFollowing && isOfKnownEra ? m_syncedAt : std::nullopt;
}

bool StoreCursor::takeNews()
{
    return std::exchange(m_hasNews, false);
}

StoreOutcome StoreCursor::applyChanges(const Changes& result, const SentWatch& watch)
{
    if (!Base::succeeded(result)) {
        auto& error = Base::errorOf(result);
        if (error.kind != Fleet::StoreErrorKind::HistoryLost)
            return fail(error.describe());
        discardPosition();
        return StoreOutcome::Used;
    }
    auto& batch = Base::valueOf(result);
    if (isStale(batch.position))
        return ignore("a response of an earlier era");
    if (!m_merger.isPlausible(batch.position, storeSource))
        return ignore("a response of an implausible era");
    // The revision to continue from may have been given out again.
    if (batch.position.era != m_position->era) {
        discardPosition();
        return StoreOutcome::Used;
    }
    updateConnection(true, "watching");
    if (batch.changes.empty() && batch.position > *m_position) {
        Observability::logEvent(Events::watchSkippedRevisions, { { "prefix", allKeys }, { "after", watch.after }, { "revision", batch.position.revision }, { "era", batch.position.era } });
        discardPosition();
        return StoreOutcome::Used;
    }
    mergeChanges(batch, watch);
    return StoreOutcome::Used;
}

// All items are listed next.
void StoreCursor::discardPosition()
{
    m_position.reset();
    m_unconfirmed.reset();
    m_hasUnconfirmedChanges = false;
}

// Whether the response was sent before the store returned from an older copy. It must not undo what was published since.
bool StoreCursor::isStale(Fleet::StorePosition position) const
{
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    if (position.era >= known.era)
        return false;
    Observability::logEvent(Events::staleResponseIgnored, { { "prefix", allKeys }, { "era", position.era }, { "known_era", known.era } });
    return true;
}

void StoreCursor::logEra(Fleet::StorePosition position) const
{
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    if (known > Fleet::StorePosition() && position.era > known.era)
        Observability::logEvent(Events::storeEraChanged, { { "prefix", allKeys }, { "era", position.era }, { "revision", position.revision }, { "known_era", known.era }, { "known_revision", known.revision } });
}

// Whether the last response was handled as soon as it arrived. The store responds to a waiting request at once, so a
// change is then at most as old as the delay between requests and the store's response time.
bool StoreCursor::observedAtOnce() const
{
    return m_isWatching && m_syncedAt && !m_stalls.hasStalledSince(*m_syncedAt);
}

// Time up to which a response certainly has all items. Without changes the store sent it after the wait, however late it
// arrived. With changes the store may have sent it at any time since the request: how long it was on its way depends on
// its size and on the load of the links, so the response times of others say nothing about it.
Base::TimePoint StoreCursor::syncTime(const Fleet::ChangeBatch& batch, const SentWatch& watch) const
{
    auto waitEnd = watch.requestedAt + watch.wait;
    bool isWaitOver = waitEnd <= m_clock.now();
    return batch.changes.empty() && isWaitOver ? waitEnd : watch.requestedAt;
}

void StoreCursor::recordResponseTime(const Fleet::ChangeBatch& batch, const SentWatch& watch, Base::TimePoint now)
{
    if (batch.changes.empty())
        m_responseTime = std::max(now - watch.requestedAt - watch.wait, Base::Duration::zero());
    else if (watch.wait == probeWait)
        m_responseTime = now - watch.requestedAt;
    else
        return;
    m_watchMargin.recordResponse(m_responseTime);
}

void StoreCursor::mergeChanges(const Fleet::ChangeBatch& batch, const SentWatch& watch)
{
    auto now = m_clock.now();
    recordResponseTime(batch, watch, now);
    if (m_unconfirmed)
        confirmObserved();
    bool isObserved = observedAtOnce() && watch.responseBytes <= maximumExactResponseBytes;
    auto changes = batch.changes;
    for (auto& change : changes) {
        change.age = Fleet::FleetState::unknownAge;
        change.ageIsBound = true;
    }
    m_syncedAt = syncTime(batch, watch);
    m_syncedEra = batch.position.era;
    m_hasUnconfirmedChanges = !changes.empty();
    m_wasProbe = watch.wait == probeWait;
    m_isFollowing = true;
    m_isWatching = true;
    m_position = std::max(*m_position, batch.position);
    if (m_hasUnconfirmedChanges) {
        logChanges(changes.size(), watch, now);
        auto declared = m_merger.apply(std::move(changes), *m_position, deletionsDeferredUntil(), storeSource);
        if (isObserved && !declared.empty())
            m_unconfirmed = { std::move(declared), now, m_responseTime };
        m_hasNews = true;
    }
    m_merger.recordSync(*m_syncedAt, storeSource);
}

void StoreCursor::logChanges(size_t count, const SentWatch& watch, Base::TimePoint now) const
{
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - watch.requestedAt);
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_syncedAt);
    Observability::logEvent(Events::storeResponded, { { "changes", count }, { "revision", m_position->revision }, { "elapsed", elapsed }, { "sync_age", age } });
}

// The change may have come just after the response before was sent, and both responses may have taken as long
// as the one before them or this one.
void StoreCursor::confirmObserved()
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
    m_hasNews = true;
}

} // namespace Lavenderloft::Peering
