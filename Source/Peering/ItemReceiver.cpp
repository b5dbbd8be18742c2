#include "Peering/ItemReceiver.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/Queries/ListPeers.h"
#include "Peering/ValuePacker.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    // Longer than a fetch takes. A router that stays behind for longer follows the store itself.
    constexpr std::chrono::milliseconds maximumLag = 700ms;
    // Error of an age that still counts as exact.
    constexpr std::chrono::milliseconds exactAgeTolerance = 50ms;

    // The ages and delays of a response are those at the time when the router responded, at some time during the fetch. A
    // long fetch leaves only an upper bound of the ages.
    void addWaitingTime(std::vector<Fleet::PublishedItem>& items, std::chrono::milliseconds duration)
    {
        for (auto& item : items) {
            item.age += duration;
            item.ageIsBound = item.ageIsBound || duration > exactAgeTolerance;
            item.deletionDelay = std::max(item.deletionDelay - duration, 0ms);
        }
    }

} // namespace

ItemReceiver::ItemReceiver(const Fleet::NodeSettings& settings, PeerTable& peers, ItemMerger& merger, const Base::Clock& clock)
    : m_settings(settings)
    , m_peers(peers)
    , m_merger(merger)
    , m_clock(clock)
{
}

std::optional<ItemFetch> ItemReceiver::nextFetch() const
{
    auto router = routerToFetchFrom();
    if (!router) {
        // What a router retains has old positions, so that all items are requested.
        auto retaining = routerThatRetainsMore();
        return retaining ? std::optional(ItemFetch { std::move(*retaining), {}, m_clock.now() }) : std::nullopt;
    }
    auto after = completePosition();
    // No router of a later era can tell the changes since an earlier one.
    if (after.era < router->position.era)
        after = {};
    return ItemFetch { std::move(*router), after, m_clock.now() };
}

std::optional<ItemFetch> ItemReceiver::fetchAfterHistoryLost(const ItemFetch& fetch)
{
    // Another router may still have the deletions; its response is smaller.
    Commands::startRouterBackoff(m_peers, fetch.router.address, m_clock.now());
    if (routerToFetchFrom())
        return std::nullopt;
    // It responds, and may be the only one that relays the next changes.
    Commands::endRouterBackoff(m_peers, fetch.router.address);
    return ItemFetch { fetch.router, {}, m_clock.now() };
}

bool ItemReceiver::merge(const ItemFetch& fetch, ItemBatch batch)
{
    auto isPlausible = [&](const Fleet::StorePosition& position) { return m_merger.isPlausible(position, fetch.router.address); };
    bool arePlausible = isPlausible(batch.position) && std::all_of(batch.items.begin(), batch.items.end(), [&](auto& item) { return isPlausible(item.position); });
    if (!arePlausible || !unpackValues(batch, m_merger.fleet()))
        return false;
    std::vector<std::string> keys;
    for (auto& item : batch.items) {
        // A deletion may be older than what this node knows of the key.
        if (!item.deleted)
            keys.push_back(item.key);
    }
    addWaitingTime(batch.items, std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - fetch.requestedAt));
    bool isFirst = !m_hasFetchedAll;
    m_hasFetchedAll = true;
    m_merger.apply(std::move(batch.items), batch.position, std::nullopt, fetch.router.address);
    if (fetch.after == Fleet::StorePosition())
        m_merger.applyListing("", keys, batch.position, std::nullopt);
    recordSync(fetch, batch.position, isFirst);
    if (fetch.after == Fleet::StorePosition())
        recordRetained(fetch.router.retainedDigest);
    return true;
}

// A router that has restarted since its report may have fewer items than it reported, and one of an earlier era lacks
// what was published since.
void ItemReceiver::recordSync(const ItemFetch& fetch, Fleet::StorePosition position, bool isFirst)
{
    auto& router = fetch.router;
    if (position.era != Fleet::Queries::knownPosition(m_merger.fleet()).era)
        return;
    if (router.storeSync.reportedAt && position >= router.position)
        m_merger.recordRelayedSync(router.storeSync.syncedAt, m_settings.regionOf(router.dataCentre) == m_settings.region, router.address);
    else if (isFirst)
        m_merger.recordSyncAsOfStoreFailure();
}

void ItemReceiver::recordEnd(const ItemFetch& fetch, bool isMerged)
{
    // The router may be unreachable, or has restarted with an older position.
    if (!isMerged || Fleet::Queries::knownPosition(m_merger.fleet()) < fetch.router.position)
        Commands::startRouterBackoff(m_peers, fetch.router.address, m_clock.now());
}

Fleet::StorePosition ItemReceiver::completePosition() const
{
    return m_hasFetchedAll ? Fleet::Queries::knownPosition(m_merger.fleet()) : Fleet::StorePosition();
}

std::optional<PeerRouter> ItemReceiver::routerToFetchFrom() const
{
    return Queries::findRouterAhead(m_peers, completePosition(), m_settings, m_clock.now());
}

uint64_t ItemReceiver::ownRetainedDigest() const
{
    return Fleet::Queries::currentSnapshot(m_merger.fleet())->retainedDigest;
}

// Each digest leads to one fetch: what the router retains may be lower than what this node has.
void ItemReceiver::recordRetained(uint64_t digest)
{
    // More than differ in one era unless the fleet is far apart; a fetch is then repeated.
    constexpr size_t maximumDigests = 256;
    auto era = Fleet::Queries::knownPosition(m_merger.fleet()).era;
    if (std::exchange(m_retainedEra, era) != era || m_knownRetained.size() >= maximumDigests)
        m_knownRetained.clear();
    if (digest != 0)
        m_knownRetained.insert(digest);
}

bool ItemReceiver::mayLackRetained(Fleet::StorePosition position, uint64_t retainedDigest) const
{
    auto era = Fleet::Queries::knownPosition(m_merger.fleet()).era;
    if (!m_hasFetchedAll || retainedDigest == 0 || position.era != era || retainedDigest == ownRetainedDigest())
        return false;
    return m_retainedEra != era || !m_knownRetained.contains(retainedDigest);
}

std::optional<PeerRouter> ItemReceiver::routerThatRetainsMore() const
{
    auto now = m_clock.now();
    for (auto& router : Queries::liveRouters(m_peers, now)) {
        if (now >= router.backoffUntil && mayLackRetained(router.position, router.retainedDigest))
            return router;
    }
    return std::nullopt;
}

void ItemReceiver::updateLag()
{
    recordRetained(ownRetainedDigest());
    auto newest = Queries::newestPosition(m_peers, m_clock.now());
    if (newest <= Fleet::Queries::knownPosition(m_merger.fleet()))
        m_laggingSince.reset();
    else if (!m_laggingSince)
        m_laggingSince = m_clock.now();
}

bool ItemReceiver::isLagging() const
{
    return m_laggingSince && m_clock.now() - *m_laggingSince > maximumLag;
}

} // namespace Lavenderloft::Peering
