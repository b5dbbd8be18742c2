#include "Process/GossipRounds.h"

#include "Membership/Commands/ChangeStatus.h"
#include "Membership/Commands/MergeMembers.h"
#include "Membership/Commands/RecordTransmission.h"
#include "Membership/Queries/LiveMembers.h"
#include "Membership/Queries/ReportPools.h"
#include "Membership/Queries/SelectPeers.h"

#include <algorithm>

namespace Lavenderloft::Process {

using namespace std::chrono_literals;
using Membership::Commands::ChangeStatus;
using Membership::Commands::MergeMembers;
using Membership::Commands::RecordTransmission;
using Membership::Queries::ComposeGossip;
using Membership::Queries::LiveMembers;
using Membership::Queries::SelectPeers;

namespace {

    // Two exchanges a second in a small fleet; one a second in a large fleet, to stay within 12 KB/s per process.
    constexpr uint64_t ticksPerExchange = 2;
    constexpr uint64_t ticksPerLargeFleetExchange = 4;
    constexpr size_t maximumSmallFleetSize = 64;
    constexpr uint64_t ticksPerCrossDataCentreExchange = 4;
    constexpr auto exchangeTimeout = 1000ms;
    // Peers that receive a new document immediately; each of them forwards it to as many again.
    constexpr size_t immediateFanout = 3;

} // namespace

GossipRounds::GossipRounds(ControlNodeDependencies dependencies, Membership::MemberTable& table, CallGate& gate, DocumentStateProvider documentState, ResponseHandler responseHandler)
    : m_dependencies(dependencies)
    , m_table(table)
    , m_gate(gate)
    , m_documentState(std::move(documentState))
    , m_responseHandler(std::move(responseHandler))
{
}

void GossipRounds::tick()
{
    auto ticks = m_ticks++;
    contactUnknownPeer();
    auto ticksPerRound = m_table.entries().size() > maximumSmallFleetSize ? ticksPerLargeFleetExchange : ticksPerExchange;
    if (ticks % ticksPerRound == 0) {
        for (auto& peer : SelectPeers(m_table, m_dependencies.random).inDataCentre(1))
            gossipWith(peer);
    }
    if (ticks % ticksPerCrossDataCentreExchange == 0) {
        for (auto& peer : SelectPeers(m_table, m_dependencies.random).acrossDataCentres())
            gossipWith(peer);
    }
}

void GossipRounds::gossipNow()
{
    SelectPeers select(m_table, m_dependencies.random);
    for (auto& peer : select.inDataCentre(immediateFanout))
        gossipWith(peer);
    for (auto& peer : select.acrossDataCentres())
        gossipWith(peer);
}

Membership::GossipMessage GossipRounds::respondTo(const Membership::GossipMessage& request)
{
    merge(request);
    auto response = ComposeGossip(m_table).response(request, m_documentState());
    addReports(response);
    RecordTransmission(m_table).execute(response);
    return response;
}

void GossipRounds::addContact(const std::string& address, const std::string& vm)
{
    std::lock_guard guard(m_contactsLock);
    auto entry = std::make_pair(address, vm);
    if (std::find(m_pendingContacts.begin(), m_pendingContacts.end(), entry) == m_pendingContacts.end())
        m_pendingContacts.push_back(entry);
}

void GossipRounds::addCrashEvidence(const Membership::CrashEvidence& evidence)
{
    m_crashEvidence.merge({ evidence }, m_dependencies.clock.now());
}

void GossipRounds::gossipWith(const Membership::Member& peer)
{
    contact(peer.address, peer.vm, peer.dataCentre);
}

void GossipRounds::contact(const std::string& address, const std::string& vm, const std::string& dataCentre)
{
    if (!m_gate.beginCall())
        return;
    auto& pageState = dataCentre == m_table.dataCentre() ? m_pageState : m_sharedPageState;
    auto message = ComposeGossip(m_table).request(dataCentre, m_documentState(), pageState.load());
    addReports(message);
    RecordTransmission(m_table).execute(message);
    m_dependencies.peers.exchange(address, message, exchangeTimeout, [this, address, vm](std::optional<Membership::GossipMessage> response) {
        if (response)
            handleResponse(address, *response);
        else if (!vm.empty())
            ChangeStatus(m_table).recordFailedProbe(vm, m_dependencies.clock.now());
        m_gate.endCall();
    });
}

void GossipRounds::handleResponse(const std::string& address, const Membership::GossipMessage& response)
{
    merge(response);
    auto ownHash = response.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    (response.isShared ? m_sharedPageState : m_pageState) = { response.pageCursor, response.viewHash != ownHash };
    m_responseHandler(address, response);
}

void GossipRounds::contactUnknownPeer()
{
    std::string address;
    {
        std::lock_guard guard(m_contactsLock);
        auto known = LiveMembers(m_table).all();
        std::erase_if(m_pendingContacts, [&](auto& candidate) {
            return std::any_of(known.begin(), known.end(), [&](auto& member) { return member.address == candidate.first; });
        });
        if (m_pendingContacts.empty())
            return;
        address = m_pendingContacts[m_dependencies.random.nextBelow(m_pendingContacts.size())].first;
    }
    contact(address, {}, {});
}

void GossipRounds::addReports(Membership::GossipMessage& message)
{
    message.crashEvidence = m_crashEvidence.selectForMessage(m_dependencies.clock.now());
    if (!message.isShared || !SelectPeers(m_table, m_dependencies.random).isRelay())
        return;
    message.poolReports = Membership::Queries::reportPools(m_table, m_poolReportCursor);
    m_poolReportCursor += message.poolReports.size();
}

void GossipRounds::merge(const Membership::GossipMessage& message)
{
    auto now = m_dependencies.clock.now();
    MergeMembers(m_table).execute(message.members, now);
    m_crashEvidence.merge(message.crashEvidence, now);
    m_poolReports.merge(message.poolReports, now);
}

} // namespace Lavenderloft::Process
