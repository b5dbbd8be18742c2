#include "Peering/PeeringNode.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/Events.h"
#include "Peering/Queries/ListPeers.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <stdexcept>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds heartbeatInterval = 400ms;
    constexpr size_t maximumMessageBytes = 8192;
    // Routers that one message names; more would not fit into a datagram.
    constexpr size_t routersPerMessage = 24;
    // A router whose own watch of the store is about to deliver the news waits for it this long.
    constexpr std::chrono::milliseconds routerFetchDelay = 250ms;
    constexpr std::chrono::milliseconds agentFetchDelay = 5ms;
    constexpr std::chrono::milliseconds fetchTimeout = 1500ms;
    constexpr std::chrono::seconds fetchCheckInterval = 1s;

    std::optional<uint64_t> revisionInQuery(const std::string& target)
    {
        constexpr std::string_view parameter = "?after=";
        auto start = target.find(parameter);
        if (start == std::string::npos)
            return std::nullopt;
        uint64_t revision = 0;
        auto* begin = target.data() + start + parameter.size();
        auto [end, error] = std::from_chars(begin, target.data() + target.size(), revision);
        if (error != std::errc())
            return std::nullopt;
        return revision;
    }

} // namespace

PeeringNode::PeeringNode(asio::io_context& context, const Fleet::NodeSettings& settings, PeerTable& peers, ItemIntake& intake, const Base::Clock& clock, bool isRouter)
    : m_context(context)
    , m_settings(settings)
    , m_peers(peers)
    , m_intake(intake)
    , m_clock(clock)
    , m_isRouter(isRouter)
    , m_socket(context)
    , m_behind(context)
{
    boost::system::error_code error;
    udp::endpoint address(asio::ip::make_address(settings.address, error), settings.firstPeerPort);
    if (!error)
        m_socket.open(address.protocol(), error);
    if (!error)
        m_socket.bind(address, error);
    if (error)
        throw std::runtime_error("cannot receive datagrams at " + settings.address + ":" + std::to_string(settings.firstPeerPort) + ": " + error.message() + "; check that the address belongs to this VM and that the port is free");
    m_socket.non_blocking(true);
}

void PeeringNode::start()
{
    asio::co_spawn(
        m_context, [this] { return receiveMessages(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return sendHeartbeats(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return fetchWhenBehind(); }, asio::detached);
}

NodeMessage PeeringNode::describeSelf() const
{
    NodeMessage message;
    message.sender = m_settings.address;
    message.dataCentre = m_settings.dataCentre;
    message.isRouter = m_isRouter;
    message.demand = m_demand;
    message.revision = Fleet::Queries::knownRevision(m_intake.fleet());
    return message;
}

void PeeringNode::sendTo(const std::string& address, const std::string& bytes)
{
    boost::system::error_code error;
    udp::endpoint receiver(asio::ip::make_address(address, error), m_settings.firstPeerPort);
    // A datagram that is lost here is like one lost on the way: the next one follows.
    if (!error)
        m_socket.send_to(asio::buffer(bytes), receiver, 0, error);
}

asio::awaitable<void> PeeringNode::sendHeartbeats()
{
    while (true) {
        auto now = m_clock.now();
        Commands::forgetSilentPeers(m_peers, now);
        auto routers = Queries::liveRouters(m_peers, now);
        auto message = describeSelf();
        for (auto& router : routers) {
            if (message.routers.size() < routersPerMessage)
                message.routers.push_back({ router.address, router.dataCentre, std::chrono::duration_cast<std::chrono::milliseconds>(now - router.heardAt) });
        }
        auto bytes = encodeMessage(message);
        if (m_isRouter) {
            for (auto& router : routers)
                sendTo(router.address, bytes);
        }
        // Seeds are asked for as long as they are not known, which also heals a fleet that fell apart.
        for (auto& seed : m_settings.seedAddresses) {
            bool isKnown = std::any_of(routers.begin(), routers.end(), [&](auto& router) { return router.address == seed; });
            if (!isKnown && seed != m_settings.address)
                sendTo(seed, bytes);
        }
        co_await Http::sleepFor(m_context, heartbeatInterval);
    }
}

void PeeringNode::sendLoad(const EngineLoad& load, const std::map<std::string, unsigned>& grantsByRouter)
{
    auto message = describeSelf();
    message.load = load;
    for (auto& router : Queries::liveRouters(m_peers, m_clock.now())) {
        auto granted = grantsByRouter.find(router.address);
        message.load->granted = granted == grantsByRouter.end() ? 0 : granted->second;
        sendTo(router.address, encodeMessage(message));
    }
}

void PeeringNode::announceLeaving()
{
    auto message = describeSelf();
    message.leaving = true;
    auto bytes = encodeMessage(message);
    for (auto& router : Queries::liveRouters(m_peers, m_clock.now()))
        sendTo(router.address, bytes);
}

asio::awaitable<void> PeeringNode::receiveMessages()
{
    std::string buffer(maximumMessageBytes, '\0');
    while (true) {
        udp::endpoint sender;
        boost::system::error_code error;
        auto count = co_await m_socket.async_receive_from(asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        auto message = decodeMessage(buffer.substr(0, count));
        if (message)
            handle(*message);
        else
            Observability::logEvent(Events::messageUnreadable, { { "sender", sender.address().to_string() }, { "bytes", count } });
    }
}

void PeeringNode::noteRouter(const PeerRouter& router)
{
    if (router.address == m_settings.address)
        return;
    if (!m_peers.routers().find(router.address))
        Observability::logEvent(Events::routerFound, { { "address", router.address }, { "data_centre", router.dataCentre } });
    Commands::recordRouter(m_peers, router);
}

void PeeringNode::handle(const NodeMessage& message)
{
    for (auto& router : message.routers)
        noteRouter({ router.address, router.dataCentre, m_clock.now() - router.age, 0, 0 });
    auto ownRevision = Fleet::Queries::knownRevision(m_intake.fleet());
    if (message.isRouter) {
        if (message.leaving)
            Commands::forgetRouter(m_peers, message.sender);
        else
            noteRouter({ message.sender, message.dataCentre, m_clock.now(), message.revision, message.demand });
        if (message.revision > ownRevision || (!m_fetchedAll && message.revision > 0))
            m_behind.cancel();
        return;
    }
    if (message.load && m_onLoad)
        m_onLoad(*message.load);
    if (!m_isRouter || !Commands::recordAgent(m_peers, message.sender, message.revision, ownRevision, m_clock.now()))
        return;
    auto answer = describeSelf();
    for (auto& router : Queries::liveRouters(m_peers, m_clock.now())) {
        if (answer.routers.size() < routersPerMessage)
            answer.routers.push_back({ router.address, router.dataCentre, std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - router.heardAt) });
    }
    sendTo(message.sender, encodeMessage(answer));
}

asio::awaitable<void> PeeringNode::fetchWhenBehind()
{
    boost::system::error_code ignored;
    while (true) {
        m_behind.expires_after(fetchCheckInterval);
        co_await m_behind.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_await Http::sleepFor(m_context, m_isRouter ? routerFetchDelay : agentFetchDelay);
        auto revision = m_fetchedAll ? Fleet::Queries::knownRevision(m_intake.fleet()) : 0;
        auto router = Queries::routerAhead(m_peers, revision, m_settings.dataCentre, m_clock.now());
        if (!router)
            continue;
        bool fetched = co_await fetchFrom(*router);
        // Another router is asked next, as this one may be behind a partition.
        if (!fetched)
            Commands::forgetRouter(m_peers, router->address);
    }
}

asio::awaitable<bool> PeeringNode::fetchFrom(const PeerRouter& router)
{
    Http::Endpoint endpoint { router.address, m_settings.firstPeerPort };
    if (!m_client || !(m_client->endpoint() == endpoint))
        m_client = std::make_unique<Http::KeptClient>(m_context.get_executor(), endpoint);
    Http::HttpRequest request;
    auto revision = m_fetchedAll ? Fleet::Queries::knownRevision(m_intake.fleet()) : 0;
    request.target = std::string(itemsPath) + "?after=" + std::to_string(revision);
    auto answer = co_await m_client->call(std::move(request), fetchTimeout);
    if (!Base::succeeded(answer) || Base::valueOf(answer).status != 200)
        co_return false;
    auto batch = decodeItems(Base::valueOf(answer).body);
    if (!batch)
        co_return false;
    m_fetchedAll = true;
    m_intake.apply(std::move(batch->items), batch->revision, std::nullopt, router.address);
    co_return true;
}

Http::HttpResponse PeeringNode::answerItems(const Http::HttpRequest& request) const
{
    auto revision = revisionInQuery(request.target);
    if (!revision)
        return { 400, {}, "the query must name a revision: /items?after=REVISION" };
    ItemBatch batch;
    batch.revision = Fleet::Queries::knownRevision(m_intake.fleet());
    batch.items = Fleet::Queries::itemsAfter(m_intake.fleet(), *revision, m_clock.now());
    return { 200, { { "Content-Type", "application/octet-stream" } }, encodeItems(batch) };
}

bool PeeringNode::hearsRouters() const
{
    return !Queries::liveRouters(m_peers, m_clock.now()).empty();
}

} // namespace Lavenderloft::Peering
