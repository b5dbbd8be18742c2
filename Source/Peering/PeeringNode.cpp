#include "Peering/PeeringNode.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Http/TaskSupervisor.h"
#include "Observability/Log.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/Events.h"
#include "Peering/Queries/ListPeers.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>
#include <utility>

namespace Lavenderloft::Peering {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds heartbeatInterval = 400ms;
    // Known routers listed in one message, in rotation, so that the message size does not grow with the fleet.
    constexpr size_t maximumRoutersPerMessage = 8;
    // Receivers of one heartbeat, in rotation, so that the message rate does not grow with the fleet.
    constexpr size_t ownRegionFanout = 8;
    constexpr size_t otherRegionsFanout = 4;
    // Receivers of one load report in other regions, because bandwidth between regions is scarce.
    constexpr size_t loadFanout = 8;
    // Declarations are relayed for this multiple of the time within which they take effect.
    constexpr int declarationRelayFactor = 2;
    // Interval of the load reports to one router that bear times and declarations: the other reports stay small.
    constexpr std::chrono::milliseconds timedLoadInterval = 1000ms;

    // Agents are told of the demand more often for this time after urgent requests waited, so that they learn of its end.
    constexpr std::chrono::milliseconds urgentReplyTime = 1000ms;

    template <typename Report>
    void truncate(std::vector<Report>& reports, size_t maximum)
    {
        if (reports.size() > maximum)
            reports.resize(maximum);
    }

} // namespace

PeeringNode::PeeringNode(asio::io_context& context, const Fleet::NodeSettings& settings, PeerTable& peers, ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls, bool isRouter)
    : m_context(context)
    , m_settings(settings)
    , m_peers(peers)
    , m_merger(merger)
    , m_clock(clock)
    , m_isRouter(isRouter)
    , m_socket(context)
    , m_reports(settings, peers, merger, clock, stalls)
    , m_items(context, settings, peers, merger, clock)
{
    boost::system::error_code error;
    udp::endpoint address(asio::ip::make_address(settings.address, error), settings.firstPeerPort);
    if (!error)
        m_socket.open(address.protocol(), error);
    if (!error)
        m_socket.bind(address, error);
    if (error)
        throw std::runtime_error("cannot bind UDP socket to " + settings.address + ":" + std::to_string(settings.firstPeerPort) + ": " + error.message() + "; check that the address is assigned to this VM and that the port is not in use");
    m_socket.non_blocking(true);
}

void PeeringNode::start()
{
    Http::superviseTask(m_context, "receive-messages", [this] { return receiveMessages(); });
    Http::superviseTask(m_context, "send-heartbeats", [this] { return sendHeartbeats(); });
    Http::superviseTask(m_context, "fetch-items", [this] { return m_items.run([this] { return followsStore(); }, [this](const PeerRouter& source) { announceFetched(source); }); });
}

std::optional<std::chrono::milliseconds> PeeringNode::storeAge() const
{
    auto syncedAt = m_storeSyncTime ? m_storeSyncTime() : std::nullopt;
    if (!syncedAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - *syncedAt);
}

NodeMessage PeeringNode::describeSelf() const
{
    NodeMessage message;
    message.sender = m_settings.address;
    message.dataCentre = m_settings.dataCentre;
    message.isRouter = m_isRouter;
    message.demand = m_demand;
    message.urgencyDemand = m_urgencyDemand;
    message.position = Fleet::Queries::knownPosition(m_merger.fleet());
    message.retainedDigest = m_isRouter ? Fleet::Queries::currentSnapshot(m_merger.fleet())->retainedDigest : 0;
    message.storeAge = storeAge();
    message.declarations = Fleet::Queries::observedDeclarations(m_merger.fleet(), m_settings.bounds.weights * declarationRelayFactor, m_clock.now());
    truncate(message.declarations, maximumDeclarationsPerMessage);
    return message;
}

void PeeringNode::addKnownRouters(NodeMessage& message)
{
    auto now = m_clock.now();
    for (auto& router : Queries::nextInRotation(Queries::liveRouters(m_peers, now), maximumRoutersPerMessage, m_knownRoutersPosition))
        message.routers.push_back({ router.address, router.dataCentre, std::chrono::duration_cast<std::chrono::milliseconds>(now - router.lastSeenAt) });
}

// The router that follows the store sends each heartbeat to all routers of its region, because they depend on it.
std::vector<PeerRouter> PeeringNode::nextHeartbeatReceivers(const std::vector<PeerRouter>& routers)
{
    auto split = Queries::splitByRegion(routers, m_settings);
    auto receivers = followsStore() ? split.own : Queries::nextInRotation(split.own, ownRegionFanout, m_ownRegionPosition);
    auto others = Queries::nextInRotation(split.others, otherRegionsFanout, m_otherRegionsPosition);
    receivers.insert(receivers.end(), others.begin(), others.end());
    return receivers;
}

// A few in each message, in rotation, so that the message size does not grow with the number of limited targets.
void PeeringNode::addLimits(NodeMessage& message)
{
    auto limits = m_limits ? m_limits() : std::vector<Dispatch::LimitReport> {};
    for (size_t i = 0; i < std::min(limits.size(), maximumLimitsPerMessage); ++i)
        message.limits.push_back(limits[(m_limitsPosition + i) % limits.size()]);
    m_limitsPosition += message.limits.size();
}

// Ages in a message count from its sending, and without a bound for its way they are not used.
void PeeringNode::handleLimits(const NodeMessage& message)
{
    auto wait = m_reports.maximumWait(message);
    if (message.limits.empty() || !m_onLimits || !wait)
        return;
    auto limits = message.limits;
    for (auto& limit : limits)
        limit.age += *wait;
    m_onLimits(limits);
}

void PeeringNode::sendTo(const std::string& address, const std::string& bytes)
{
    boost::system::error_code error;
    udp::endpoint receiver(asio::ip::make_address(address, error), m_settings.firstPeerPort);
    // Send errors are ignored like lost datagrams: messages are repeated periodically.
    if (!error)
        m_socket.send_to(asio::buffer(bytes), receiver, 0, error);
}

// Adds what the receiver needs to bound the time for which the message waits on its way.
void PeeringNode::sendTimed(const std::string& address, const std::string& bytes, Base::TimePoint agesReadAt)
{
    sendTo(address, bytes + encodeTimes(m_reports.timesOfMessage(address, agesReadAt)));
}

void PeeringNode::removeExpired()
{
    auto now = m_clock.now();
    Commands::removeExpiredPeers(m_peers, now);
    m_reports.removeExpired();
    std::erase_if(m_timedLoadSentAt, [&](auto& sent) { return now - sent.second > PeerTable::routerTimeout; });
}

asio::awaitable<void> PeeringNode::sendHeartbeats()
{
    while (true) {
        removeExpired();
        auto routers = Queries::liveRouters(m_peers, m_clock.now());
        auto agesReadAt = m_clock.now();
        auto message = describeSelf();
        addKnownRouters(message);
        addLimits(message);
        auto bytes = encodeMessage(message);
        if (m_isRouter) {
            for (auto& router : nextHeartbeatReceivers(routers))
                sendTimed(router.address, bytes, agesReadAt);
        }
        // Seeds that are not among the live routers get every heartbeat, which also rejoins a partitioned fleet.
        for (auto& seed : m_settings.seedAddresses) {
            bool isKnown = std::any_of(routers.begin(), routers.end(), [&](auto& router) { return router.address == seed; });
            if (!isKnown && seed != m_settings.address)
                sendTimed(seed, bytes, agesReadAt);
        }
        co_await Http::sleepFor(m_context, heartbeatInterval);
    }
}

std::vector<PeerRouter> PeeringNode::nextLoadReceivers()
{
    auto split = Queries::splitByRegion(Queries::liveRouters(m_peers, m_clock.now()), m_settings);
    auto receivers = std::move(split.own);
    auto others = Queries::nextInRotation(split.others, loadFanout, m_loadPosition);
    receivers.insert(receivers.end(), others.begin(), others.end());
    return receivers;
}

bool PeeringNode::isTimedLoadDue(const std::string& address)
{
    auto now = m_clock.now();
    auto [sent, isFirst] = m_timedLoadSentAt.try_emplace(address, now);
    if (!isFirst && now - sent->second < timedLoadInterval)
        return false;
    sent->second = now;
    return true;
}

void PeeringNode::sendLoad(const EngineLoad& load, const std::vector<PeerRouter>& receivers, const std::map<std::string, RouterShare>& shares)
{
    auto agesReadAt = m_clock.now();
    auto message = describeSelf();
    message.load = load;
    auto declarations = std::exchange(message.declarations, {});
    for (auto& router : receivers) {
        auto share = shares.find(router.address);
        message.load->granted = share == shares.end() ? 0 : share->second.granted;
        message.load->reuse = share == shares.end() ? std::nullopt : share->second.reuse;
        if (!isTimedLoadDue(router.address)) {
            sendTo(router.address, encodeMessage(message));
            continue;
        }
        auto timed = message;
        timed.declarations = declarations;
        sendTimed(router.address, encodeMessage(timed), agesReadAt);
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

void PeeringNode::announceRevision()
{
    auto agesReadAt = m_clock.now();
    auto bytes = encodeMessage(describeSelf());
    auto split = Queries::splitByRegion(Queries::liveRouters(m_peers, m_clock.now()), m_settings);
    for (auto& router : split.own)
        sendTimed(router.address, bytes, agesReadAt);
    for (auto& router : Queries::nextInRotation(split.others, otherRegionsFanout, m_otherRegionsPosition))
        sendTimed(router.address, bytes, agesReadAt);
}

void PeeringNode::announceCrashes(const std::vector<Dispatch::CrashReport>& crashes, const Dispatch::PartReports& parts)
{
    auto agesReadAt = m_clock.now();
    auto message = describeSelf();
    message.crashes = crashes;
    truncate(message.crashes, maximumCrashesPerMessage);
    message.parts = parts;
    truncate(message.parts.crashes, maximumPartCrashesPerMessage);
    truncate(message.parts.served, maximumPartsServedPerMessage);
    auto bytes = encodeMessage(message);
    for (auto& router : Queries::liveRouters(m_peers, m_clock.now()))
        sendTimed(router.address, bytes, agesReadAt);
}

bool PeeringNode::shouldFollowStore()
{
    // Without any items, requests can't be served.
    if (!m_items.hasFetchedAll())
        return true;
    auto now = m_clock.now();
    m_takeover.recordSupply(!m_items.isLagging() && Queries::isStoreFollowedByPeer(m_peers, m_settings, now), now);
    return m_takeover.isDue(Queries::takeoverRank(m_peers, m_settings, now), now);
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
            handleMessage(*message);
        else
            Observability::logEvent(Events::messageUnreadable, { { "sender", sender.address().to_string() }, { "bytes", count } });
    }
}

void PeeringNode::logNewRouter(const std::string& address, const std::string& dataCentre)
{
    if (address != m_settings.address && !m_peers.routers().find(address))
        Observability::logEvent(Events::routerFound, { { "address", address }, { "data_centre", dataCentre } });
}

// Answers a router that does not know this process yet, so that the ages in its next message can be used. If that router has
// just started, it knows nothing of earlier crashes either.
void PeeringNode::introduceTo(const NodeMessage& message)
{
    if (!m_isRouter || !message.times.sentAt || m_reports.isKnownTo(message))
        return;
    auto agesReadAt = m_clock.now();
    auto introduction = describeSelf();
    if (m_quarantineCrashes)
        introduction.crashes = m_quarantineCrashes();
    truncate(introduction.crashes, maximumCrashesPerMessage);
    sendTimed(message.sender, encodeMessage(introduction), agesReadAt);
}

void PeeringNode::handleRouterMessage(const NodeMessage& message)
{
    if (message.sender == m_settings.address)
        return;
    if (message.leaving) {
        Commands::removeRouter(m_peers, message.sender);
        return;
    }
    logNewRouter(message.sender, message.dataCentre);
    m_reports.recordRouter(message);
    introduceTo(message);
}

void PeeringNode::handleMessage(const NodeMessage& message)
{
    auto now = m_clock.now();
    m_reports.recordArrival(message);
    for (auto& router : message.routers) {
        logNewRouter(router.address, router.dataCentre);
        if (router.address != m_settings.address)
            Commands::recordGossip(m_peers, router.address, router.dataCentre, now - router.age);
    }
    if (!message.declarations.empty() && m_reports.isPrompt(message))
        m_merger.applyObserved(message.declarations, message.sender);
    recordClampedDemands(message);
    if (message.isRouter) {
        handleRouterMessage(message);
        if (!message.crashes.empty() && m_onCrashes)
            m_onCrashes(message.crashes);
        if (!message.parts.isEmpty() && m_onParts)
            m_onParts(message.parts);
        handleLimits(message);
        m_items.reportReceived(message.position, message.retainedDigest);
        return;
    }
    if (message.load && m_onLoad)
        m_onLoad(*message.load);
    if (m_isRouter)
        replyToAgent(message.sender, message.position);
}

void PeeringNode::replyToAgent(const std::string& address, Fleet::StorePosition position)
{
    auto now = m_clock.now();
    if (Commands::recordAgent(m_peers, address, position, Fleet::Queries::knownPosition(m_merger.fleet()), now)) {
        auto agesReadAt = m_clock.now();
        auto reply = describeSelf();
        addKnownRouters(reply);
        sendTimed(address, encodeMessage(reply), agesReadAt);
        return;
    }
    if (m_urgentWaitedAt && now - *m_urgentWaitedAt < urgentReplyTime)
        sendDemand(address);
}

// A message with nothing but the demand, so that many can be sent.
void PeeringNode::sendDemand(const std::string& address)
{
    NodeMessage message;
    message.sender = m_settings.address;
    message.dataCentre = m_settings.dataCentre;
    message.isRouter = true;
    message.demand = m_demand;
    message.position = Fleet::Queries::knownPosition(m_merger.fleet());
    message.retainedDigest = Fleet::Queries::currentSnapshot(m_merger.fleet())->retainedDigest;
    message.urgencyDemand = m_urgencyDemand;
    // Without it the agent would take this router for one that does not follow the store.
    message.storeAge = storeAge();
    auto bytes = encodeMessage(message);
    if (Commands::takeDemandReply(m_peers, address, Queries::demandReplyInterval(m_peers, bytes.size()), m_clock.now()))
        sendTo(address, bytes);
}

void PeeringNode::setUrgencyDemand(const Scheduling::DemandByUrgency& demand, bool isUrgentWaiting)
{
    m_urgencyDemand = demand;
    if (isUrgentWaiting)
        m_urgentWaitedAt = m_clock.now();
}

std::vector<PeerRouter> PeeringNode::knownRouters() const
{
    return Queries::liveRouters(m_peers, m_clock.now());
}

void PeeringNode::recordClampedDemands(const NodeMessage& message)
{
    if (message.clampedDemands == 0)
        return;
    m_clampedDemands += message.clampedDemands;
    Observability::logEvent(Events::demandClamped, { { "sender", message.sender }, { "numbers", message.clampedDemands } });
}

// Items from another region are new to the routers of this one.
void PeeringNode::announceFetched(const PeerRouter& source)
{
    if (m_isRouter && m_settings.regionOf(source.dataCentre) != m_settings.region)
        announceRevision();
}

bool PeeringNode::followsStore() const
{
    return m_storeSyncTime && m_storeSyncTime();
}

bool PeeringNode::hasLiveRouters() const
{
    return !Queries::liveRouters(m_peers, m_clock.now()).empty();
}

} // namespace Lavenderloft::Peering
