#include "Peering/PeerReports.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Peering/Commands/RecordPeer.h"

#include <random>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    // After a stall of the event loop, all datagrams that arrived meanwhile are handled within this time.
    constexpr std::chrono::milliseconds datagramWaitTime = 300ms;
    // A datagram that may have waited for longer, on a link or at a node, gives no exact times.
    constexpr std::chrono::milliseconds maximumExactWait = 300ms;

    uint32_t randomIncarnation()
    {
        return std::random_device()();
    }

} // namespace

PeerReports::PeerReports(const Fleet::NodeSettings& settings, PeerTable& peers, ItemMerger& merger, const Base::Clock& clock, const Base::StallMonitor& stalls)
    : m_settings(settings)
    , m_peers(peers)
    , m_merger(merger)
    , m_clock(clock)
    , m_stalls(stalls)
    , m_incarnation(randomIncarnation())
{
}

void PeerReports::recordArrival(const NodeMessage& message)
{
    if (message.times.sentAt)
        m_peerClocks.recordArrival(message.sender, *message.times.sentAt, m_clock.now());
}

void PeerReports::recordRouter(const NodeMessage& message)
{
    auto now = m_clock.now();
    bool isPlausible = m_merger.isPlausible(message.position, message.sender);
    PeerRouter router { message.sender, message.dataCentre, now, message.position, message.demand, syncReportOf(message, now), {}, message.urgencyDemand, now, message.retainedDigest };
    if (!isPlausible) {
        router.position = {};
        router.storeSync = {};
        router.retainedDigest = 0;
    }
    bool isNewReport = router.storeSync.reportedAt == now;
    auto known = Fleet::Queries::knownPosition(m_merger.fleet());
    // A router of an earlier era lacks what was published since the store returned.
    if (isNewReport && known.era == message.position.era && known >= message.position)
        m_merger.recordRelayedSync(router.storeSync.syncedAt, m_settings.regionOf(message.dataCentre) == m_settings.region, message.sender);
    Commands::recordRouter(m_peers, router);
}

// Whether a datagram may have waited at this node, so that the ages in it are too small.
bool PeerReports::mayHaveWaited() const
{
    return m_stalls.hasStalledSince(m_clock.now() - datagramWaitTime);
}

std::optional<std::chrono::milliseconds> PeerReports::maximumWait(const NodeMessage& message) const
{
    if (mayHaveWaited())
        return std::nullopt;
    return PeerClocks::maximumWait(message.times, m_incarnation, m_clock.now());
}

// A router that has no message of this node yet does not know how long its messages wait, so its ages are not used.
bool PeerReports::isPrompt(const NodeMessage& message) const
{
    auto wait = maximumWait(message);
    return wait && *wait <= maximumExactWait;
}

bool PeerReports::isKnownTo(const NodeMessage& message) const
{
    return PeerClocks::maximumWait(message.times, m_incarnation, m_clock.now()).has_value();
}

// The time for which the message may have waited is added to its age, which errs towards an older sync.
StoreSyncReport PeerReports::syncReportOf(const NodeMessage& message, Base::TimePoint now) const
{
    if (!message.storeAge)
        return {};
    if (auto wait = maximumWait(message))
        return { now, now - *message.storeAge - *wait };
    // The previous report stays valid until it expires.
    auto known = m_peers.routers().find(message.sender);
    return known ? known->storeSync : StoreSyncReport {};
}

// The time of the ages counts, not that of the sending: this process may have stood still in between.
MessageTimes PeerReports::timesOfMessage(const std::string& receiver, Base::TimePoint agesReadAt) const
{
    return { PeerClocks::readingAt(agesReadAt, m_incarnation), m_peerClocks.passedTime(receiver, agesReadAt) };
}

void PeerReports::removeExpired()
{
    m_peerClocks.removeExpired(m_clock.now());
}

} // namespace Lavenderloft::Peering
