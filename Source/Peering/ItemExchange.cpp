#include "Peering/ItemExchange.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Events.h"
#include "Peering/PeeringCodec.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // A router that follows the store waits for its own watch to deliver the change before it fetches from a peer, unless it
    // has just started.
    constexpr std::chrono::milliseconds followerFetchDelay = 250ms;
    constexpr std::chrono::milliseconds fetchDelay = 5ms;
    constexpr std::chrono::milliseconds fetchTimeout = 1500ms;
    // All items of a large fleet may take that long on a narrow link.
    constexpr std::chrono::milliseconds maximumFetchTimeout = 6000ms;
    constexpr std::chrono::seconds checkInterval = 1s;
    constexpr unsigned foundStatus = 200;
    // The router lacks deletions after the requested revision.
    constexpr unsigned historyLostStatus = 410;

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

} // namespace

ItemExchange::ItemExchange(asio::io_context& context, const Fleet::NodeSettings& settings, PeerTable& peers, ItemMerger& merger, const Base::Clock& clock)
    : m_context(context)
    , m_settings(settings)
    , m_clock(clock)
    , m_receiver(settings, peers, merger, clock)
    , m_supplier(merger.fleet(), clock)
    , m_timer(context)
{
}

asio::awaitable<void> ItemExchange::run(FollowsStore followsStore, FetchHandler onFetched)
{
    boost::system::error_code ignored;
    while (true) {
        if (!m_receiver.nextFetch()) {
            m_timer.expires_after(checkInterval);
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        m_receiver.updateLag();
        bool awaitsOwnWatch = followsStore() && hasFetchedAll();
        co_await Http::sleepFor(m_context, awaitsOwnWatch ? followerFetchDelay : fetchDelay);
        auto next = m_receiver.nextFetch();
        if (!next)
            continue;
        bool isMerged = co_await fetch(*next);
        if (isMerged)
            onFetched(next->router);
        m_receiver.recordEnd(*next, isMerged);
        m_receiver.updateLag();
    }
}

void ItemExchange::reportReceived(Fleet::StorePosition position, uint64_t retainedDigest)
{
    if (m_receiver.isBehind(position) || m_receiver.mayLackRetained(position, retainedDigest))
        m_timer.cancel();
}

asio::awaitable<std::optional<Http::HttpResponse>> ItemExchange::requestItems(const ItemFetch& fetch, ValueEncoding encoding)
{
    Http::Endpoint endpoint { fetch.router.address, m_settings.firstPeerPort };
    if (!m_client || !(m_client->endpoint() == endpoint))
        m_client = std::make_unique<Http::PersistentHttpClient>(m_context.get_executor(), endpoint);
    Http::HttpRequest request;
    request.target = std::string(path) + std::string(revisionParameter) + std::to_string(fetch.after.revision);
    if (fetch.after.era > 0)
        request.target += std::string(eraParameter) + std::to_string(fetch.after.era);
    if (encoding == ValueEncoding::Packed)
        request.target += packedParameter;
    auto known = m_fetchTimeouts.find(fetch.router.address);
    auto result = co_await m_client->call(std::move(request), known == m_fetchTimeouts.end() ? fetchTimeout : known->second.current());
    recordResponseTime(fetch, result);
    std::optional<Http::HttpResponse> response;
    if (Base::succeeded(result))
        response = std::move(Base::valueOf(result));
    co_return response;
}

void ItemExchange::recordResponseTime(const ItemFetch& fetch, const Base::Result<Http::HttpResponse, Http::HttpError>& result)
{
    auto& timeout = m_fetchTimeouts.try_emplace(fetch.router.address, fetchTimeout, maximumFetchTimeout).first->second;
    if (Base::succeeded(result))
        timeout.recordResponse(m_clock.now() - fetch.requestedAt);
    else if (Base::errorOf(result).kind == Http::HttpErrorKind::TimedOut)
        timeout.recordTimeout();
    if (timeout.current() == fetchTimeout)
        m_fetchTimeouts.erase(fetch.router.address);
}

asio::awaitable<bool> ItemExchange::fetch(ItemFetch fetch)
{
    auto response = co_await requestItems(fetch, ValueEncoding::Packed);
    if (response && response->status == historyLostStatus) {
        auto fetchOfAll = m_receiver.fetchAfterHistoryLost(fetch);
        if (!fetchOfAll)
            co_return false;
        fetch = *fetchOfAll;
        response = co_await requestItems(fetch, ValueEncoding::Packed);
    }
    if (!response || response->status != foundStatus)
        co_return false;
    bool isMerged = mergeResponse(fetch, *response);
    if (isMerged)
        co_return true;
    // This node does not have the values that the packed ones are based on.
    fetch.requestedAt = m_clock.now();
    response = co_await requestItems(fetch, ValueEncoding::Plain);
    isMerged = response && response->status == foundStatus && mergeResponse(fetch, *response);
    co_return isMerged;
}

bool ItemExchange::mergeResponse(const ItemFetch& fetch, const Http::HttpResponse& response)
{
    auto batch = decodeItems(response.body);
    if (!batch)
        return false;
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - fetch.requestedAt);
    auto position = batch->position;
    if (!m_receiver.merge(fetch, std::move(*batch)))
        return false;
    Observability::logEvent(Events::itemsFetched, { { "source", fetch.router.address }, { "after", fetch.after.revision }, { "era", position.era }, { "revision", position.revision }, { "bytes", response.body.size() }, { "elapsed", elapsed } });
    return true;
}

Http::HttpResponse ItemExchange::respond(const Http::HttpRequest& request)
{
    auto position = positionInQuery(request.target);
    if (!position)
        return { 400, {}, "missing revision: expected /items?after=REVISION" };
    auto encoding = request.target.ends_with(packedParameter) ? ValueEncoding::Packed : ValueEncoding::Plain;
    auto batch = m_supplier.itemsAfter(*position, encoding);
    if (!batch)
        return { historyLostStatus, {}, "deletions after this revision may be unknown here: request all items with after=0" };
    return { foundStatus, { { "Content-Type", "application/octet-stream" } }, encodeItems(*batch) };
}

} // namespace Lavenderloft::Peering
