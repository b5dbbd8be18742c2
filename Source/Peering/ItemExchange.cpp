#include "Peering/ItemExchange.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/Events.h"
#include "Peering/PeeringCodec.h"
#include "Peering/Queries/ListPeers.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // A router that follows the store waits for its own watch to deliver the change before it fetches from a peer.
    constexpr std::chrono::milliseconds followerFetchDelay = 250ms;
    constexpr std::chrono::milliseconds fetchDelay = 5ms;
    constexpr std::chrono::milliseconds fetchTimeout = 1500ms;
    // All items of a large fleet may take that long on a narrow link.
    constexpr std::chrono::milliseconds maximumFetchTimeout = 6000ms;
    constexpr std::chrono::seconds checkInterval = 1s;
    // Longer than a fetch takes. A router that stays behind for longer follows the store itself.
    constexpr std::chrono::milliseconds maximumLag = 700ms;
    // The router lacks deletions after the requested revision.
    constexpr unsigned historyLostStatus = 410;
    // Error of an age that still counts as exact.
    constexpr std::chrono::milliseconds exactAgeTolerance = 50ms;

    constexpr std::string_view revisionParameter = "?after=";
    // Nodes that do not know eras leave it out.
    constexpr std::string_view eraParameter = "&era=";

    std::optional<uint64_t> numberInQuery(std::string_view target, std::string_view parameter)
    {
        auto start = target.find(parameter);
        if (start == std::string_view::npos)
            return std::nullopt;
        target.remove_prefix(start + parameter.size());
        uint64_t number = 0;
        auto [end, error] = std::from_chars(target.data(), target.data() + target.size(), number);
        return error == std::errc() ? std::optional(number) : std::nullopt;
    }

    std::optional<Fleet::StorePosition> positionInQuery(const std::string& target)
    {
        auto revision = numberInQuery(target, revisionParameter);
        if (!revision)
            return std::nullopt;
        return Fleet::StorePosition { numberInQuery(target, eraParameter).value_or(0), *revision };
    }

    // Marks requests of nodes that restore packed values.
    constexpr std::string_view packedParameter = "&packed=1";

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

    std::optional<ItemBatch> readBatch(const std::optional<Http::HttpResponse>& response)
    {
        if (!response || response->status != 200)
            return std::nullopt;
        return decodeItems(response->body);
    }

} // namespace

ItemExchange::ItemExchange(asio::io_context& context, const Fleet::NodeSettings& settings, PeerTable& peers, ItemMerger& merger, const Base::Clock& clock)
    : m_context(context)
    , m_settings(settings)
    , m_peers(peers)
    , m_merger(merger)
    , m_clock(clock)
    , m_timer(context)
    , m_fetchTimeout(fetchTimeout, maximumFetchTimeout)
{
}

asio::awaitable<void> ItemExchange::run(FollowsStore followsStore, FetchHandler onFetched)
{
    boost::system::error_code ignored;
    while (true) {
        if (!routerToFetchFrom()) {
            m_timer.expires_after(checkInterval);
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        updateLag();
        co_await Http::sleepFor(m_context, followsStore() ? followerFetchDelay : fetchDelay);
        auto router = routerToFetchFrom();
        if (!router)
            continue;
        bool fetched = co_await fetchFrom(*router);
        if (fetched)
            onFetched(*router);
        // Uses another router next: this one may be unreachable, or has restarted with an older position.
        if (!fetched || Fleet::Queries::knownPosition(m_merger.fleet()) < router->position)
            Commands::startRouterBackoff(m_peers, router->address, m_clock.now());
        updateLag();
    }
}

void ItemExchange::positionReported(Fleet::StorePosition position)
{
    if (position > completePosition())
        m_timer.cancel();
}

bool ItemExchange::isLagging() const
{
    return m_laggingSince && m_clock.now() - *m_laggingSince > maximumLag;
}

Fleet::StorePosition ItemExchange::completePosition() const
{
    return m_hasFetchedAll ? Fleet::Queries::knownPosition(m_merger.fleet()) : Fleet::StorePosition();
}

// Returns a router with a newer position than this node.
std::optional<PeerRouter> ItemExchange::routerToFetchFrom() const
{
    return Queries::findRouterAhead(m_peers, completePosition(), m_settings, m_clock.now());
}

void ItemExchange::updateLag()
{
    auto newest = Queries::newestPosition(m_peers, m_clock.now());
    if (newest <= Fleet::Queries::knownPosition(m_merger.fleet()))
        m_laggingSince.reset();
    else if (!m_laggingSince)
        m_laggingSince = m_clock.now();
}

asio::awaitable<std::optional<Http::HttpResponse>> ItemExchange::requestItems(const PeerRouter& router, Fleet::StorePosition after, ValueEncoding encoding)
{
    Http::Endpoint endpoint { router.address, m_settings.firstPeerPort };
    if (!m_client || !(m_client->endpoint() == endpoint))
        m_client = std::make_unique<Http::PersistentHttpClient>(m_context.get_executor(), endpoint);
    Http::HttpRequest request;
    request.target = std::string(path) + std::string(revisionParameter) + std::to_string(after.revision);
    if (after.era > 0)
        request.target += std::string(eraParameter) + std::to_string(after.era);
    if (encoding == ValueEncoding::Packed)
        request.target += packedParameter;
    auto requestedAt = m_clock.now();
    auto result = co_await m_client->call(std::move(request), m_fetchTimeout.current());
    std::optional<Http::HttpResponse> response;
    if (Base::succeeded(result))
        m_fetchTimeout.recordResponse(m_clock.now() - requestedAt);
    else if (Base::errorOf(result).kind == Http::HttpErrorKind::TimedOut)
        m_fetchTimeout.recordTimeout();
    if (Base::succeeded(result))
        response = std::move(Base::valueOf(result));
    co_return response;
}

asio::awaitable<bool> ItemExchange::fetchFrom(const PeerRouter& router)
{
    auto after = completePosition();
    // No router of a later era can tell the changes since an earlier one.
    if (after.era < router.position.era)
        after = {};
    auto requestedAt = m_clock.now();
    auto response = co_await requestItems(router, after, ValueEncoding::Packed);
    if (response && response->status == historyLostStatus) {
        // Another router may still have the deletions; its response is smaller.
        Commands::startRouterBackoff(m_peers, router.address, m_clock.now());
        if (routerToFetchFrom())
            co_return false;
        // It responds, and may be the only one that relays the next changes.
        Commands::endRouterBackoff(m_peers, router.address);
        after = {};
        requestedAt = m_clock.now();
        response = co_await requestItems(router, after, ValueEncoding::Packed);
    }
    auto batch = readBatch(response);
    bool isRestored = batch && unpackValues(*batch, m_merger.fleet());
    if (batch && !isRestored) {
        // This node does not have the values that the packed ones are based on.
        requestedAt = m_clock.now();
        response = co_await requestItems(router, after, ValueEncoding::Plain);
        batch = readBatch(response);
        isRestored = batch && unpackValues(*batch, m_merger.fleet());
    }
    if (!isRestored)
        co_return false;
    std::vector<std::string> keys;
    for (auto& item : batch->items)
        keys.push_back(item.key);
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - requestedAt);
    Observability::logEvent(Events::itemsFetched, { { "source", router.address }, { "after", after.revision }, { "era", batch->position.era }, { "revision", batch->position.revision }, { "bytes", response->body.size() }, { "elapsed", elapsed } });
    addWaitingTime(batch->items, elapsed);
    bool isFirst = !m_hasFetchedAll;
    m_hasFetchedAll = true;
    m_merger.apply(std::move(batch->items), batch->position, std::nullopt, router.address);
    if (after == Fleet::StorePosition())
        m_merger.applyListing("", keys, batch->position, std::nullopt);
    // A router that has restarted since its report may have fewer items than it reported, and one of an earlier era lacks
    // what was published since.
    bool isOfKnownEra = batch->position.era == Fleet::Queries::knownPosition(m_merger.fleet()).era;
    if (router.storeSync.reportedAt && isOfKnownEra && batch->position >= router.position)
        m_merger.recordRelayedSync(router.storeSync.syncedAt, m_settings.regionOf(router.dataCentre) == m_settings.region, router.address);
    else if (isFirst && isOfKnownEra)
        m_merger.recordSyncAsOfStoreFailure();
    co_return true;
}

Http::HttpResponse ItemExchange::respond(const Http::HttpRequest& request)
{
    auto position = positionInQuery(request.target);
    if (!position)
        return { 400, {}, "missing revision: expected /items?after=REVISION" };
    if (*position > Fleet::StorePosition() && Fleet::Queries::mayMissDeletions(m_merger.fleet(), *position))
        return { historyLostStatus, {}, "deletions after this revision may be unknown here: request all items with after=0" };
    ItemBatch batch;
    batch.position = Fleet::Queries::knownPosition(m_merger.fleet());
    batch.items = Fleet::Queries::itemsAfter(m_merger.fleet(), *position, m_clock.now());
    if (request.target.ends_with(packedParameter))
        m_packer.pack(batch, m_merger.fleet(), *position);
    return { 200, { { "Content-Type", "application/octet-stream" } }, encodeItems(batch) };
}

} // namespace Lavenderloft::Peering
