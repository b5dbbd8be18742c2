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

    // A small fleet can afford two exchanges a second; one keeps a large fleet within 12 KB a second a process.
    constexpr uint64_t ticksPerExchange = 2;
    constexpr uint64_t ticksPerExchangeOfLargeFleet = 4;
    constexpr size_t largestSmallFleet = 64;
    constexpr uint64_t ticksPerCrossExchange = 4;
    constexpr auto exchangeTimeout = 1000ms;
    // Peers that hear of a new document at once; each of them tells as many again.
    constexpr size_t spreadFanout = 3;

} // namespace

GossipRounds::GossipRounds(ControlNodeParts parts, Membership::MemberTable& table, CallGate& gate, DocumentState documentState, Responded responded)
    : m_parts(parts)
    , m_table(table)
    , m_gate(gate)
    , m_documentState(std::move(documentState))
    , m_responded(std::move(responded))
{
}

void GossipRounds::tick()
{
    auto ticks = m_ticks++;
    contactUnknown();
    auto ticksBetween = m_table.entries().size() > largestSmallFleet ? ticksPerExchangeOfLargeFleet : ticksPerExchange;
    if (ticks % ticksBetween == 0) {
        for (auto& peer : SelectPeers(m_table, m_parts.random).inDataCentre(1))
            gossipWith(peer);
    }
    if (ticks % ticksPerCrossExchange == 0) {
        for (auto& peer : SelectPeers(m_table, m_parts.random).acrossDataCentres())
            gossipWith(peer);
    }
}

void GossipRounds::spreadNow()
{
    SelectPeers select(m_table, m_parts.random);
    for (auto& peer : select.inDataCentre(spreadFanout))
        gossipWith(peer);
    for (auto& peer : select.acrossDataCentres())
        gossipWith(peer);
}

Membership::GossipMessage GossipRounds::answer(const Membership::GossipMessage& request)
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
    if (std::find(m_unknownContacts.begin(), m_unknownContacts.end(), entry) == m_unknownContacts.end())
        m_unknownContacts.push_back(entry);
}

void GossipRounds::addEvidence(const Membership::CrashEvidence& evidence)
{
    m_evidence.merge({ evidence }, m_parts.clock.now());
}

void GossipRounds::gossipWith(const Membership::Member& peer)
{
    contact(peer.address, peer.vm, peer.dataCentre);
}

void GossipRounds::contact(const std::string& address, const std::string& vm, const std::string& dataCentre)
{
    if (!m_gate.beginCall())
        return;
    auto& page = dataCentre == m_table.dataCentre() ? m_page : m_sharedPage;
    auto message = ComposeGossip(m_table).request(dataCentre, m_documentState(), page.load());
    addReports(message);
    RecordTransmission(m_table).execute(message);
    m_parts.peers.exchange(address, message, exchangeTimeout, [this, address, vm](std::optional<Membership::GossipMessage> response) {
        if (response)
            noteResponse(address, *response);
        else if (!vm.empty())
            ChangeStatus(m_table).recordFailedProbe(vm, m_parts.clock.now());
        m_gate.endCall();
    });
}

void GossipRounds::noteResponse(const std::string& address, const Membership::GossipMessage& response)
{
    merge(response);
    auto ownHash = response.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    (response.isShared ? m_sharedPage : m_page) = { response.pageCursor, response.viewHash != ownHash };
    m_responded(address, response);
}

void GossipRounds::contactUnknown()
{
    std::string address;
    {
        std::lock_guard guard(m_contactsLock);
        auto known = LiveMembers(m_table).all();
        std::erase_if(m_unknownContacts, [&](auto& candidate) {
            return std::any_of(known.begin(), known.end(), [&](auto& member) { return member.address == candidate.first; });
        });
        if (m_unknownContacts.empty())
            return;
        address = m_unknownContacts[m_parts.random.nextBelow(m_unknownContacts.size())].first;
    }
    contact(address, {}, {});
}

void GossipRounds::addReports(Membership::GossipMessage& message)
{
    message.crashEvidence = m_evidence.selectForMessage(m_parts.clock.now());
    if (!message.isShared || !SelectPeers(m_table, m_parts.random).isRelay())
        return;
    message.poolReports = Membership::Queries::reportPools(m_table, m_poolsReported);
    m_poolsReported += message.poolReports.size();
}

void GossipRounds::merge(const Membership::GossipMessage& message)
{
    auto now = m_parts.clock.now();
    MergeMembers(m_table).execute(message.members, now);
    m_evidence.merge(message.crashEvidence, now);
    m_poolReports.merge(message.poolReports, now);
}

} // namespace Lavenderloft::Process
