#include "Process/ControlNode.h"

#include "Configuration/Commands/AcceptDocument.h"
#include "Configuration/Commands/RecordRead.h"
#include "Configuration/Events.h"
#include "Configuration/Queries/DocumentDelta.h"
#include "Configuration/Queries/ReaderElection.h"
#include "DesiredState/Queries/ParseDocument.h"
#include "Membership/Commands/ChangeStatus.h"
#include "Membership/Commands/MergeMembers.h"
#include "Membership/Commands/RecordTransmission.h"
#include "Membership/Commands/UpdateSelf.h"
#include "Membership/Queries/ComposeGossip.h"
#include "Membership/Queries/LiveMembers.h"
#include "Membership/Queries/ReportPools.h"
#include "Membership/Queries/SelectPeers.h"
#include "Observability/Log.h"
#include "Process/Events.h"

#include <algorithm>

namespace Lavenderloft::Process {

using namespace std::chrono_literals;
using Configuration::Commands::ReadOutcome;
using Configuration::Commands::RecordRead;
using Configuration::Queries::NextRead;
using Configuration::Queries::ReaderElection;
using Membership::Commands::ChangeStatus;
using Membership::Commands::MergeMembers;
using Membership::Commands::RecordTransmission;
using Membership::Commands::UpdateSelf;
using Membership::Queries::ComposeGossip;
using Membership::Queries::LiveMembers;
using Membership::Queries::SelectPeers;

namespace {

    constexpr auto tickInterval = 250ms;
    // A small fleet can afford two exchanges a second; one keeps a large fleet within 12 KB a second a process.
    constexpr uint64_t ticksPerExchange = 2;
    constexpr uint64_t ticksPerExchangeOfLargeFleet = 4;
    constexpr size_t largestSmallFleet = 64;
    constexpr uint64_t ticksPerCrossExchange = 4;
    // A longer gap between two ticks means that the process was paused.
    constexpr auto pauseLimit = 2s;
    constexpr auto exchangeTimeout = 1000ms;
    constexpr auto documentTimeout = 3000ms;
    // Bounds of the sleep between two looks at the schedule of reads.
    constexpr Base::Duration leastReadSleep = 20ms;
    constexpr Base::Duration greatestReadSleep = 500ms;
    // Stands for a document that the service has never confirmed here.
    constexpr auto neverConfirmed = std::chrono::hours(1);
    constexpr auto readerListInterval = 5s;
    constexpr auto listInterval = 30s;
    // Time for each member of the fleet between two announcements of the revision in force: every process
    // hears of every announcement, so that the bytes a second must not grow with the fleet.
    constexpr auto announcementInterval = 50ms;
    // Peers that hear of a new document at once; each of them tells as many again.
    constexpr size_t spreadFanout = 3;

    uint64_t startIncarnation(const Base::Clock& clock)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(clock.wallTime().time_since_epoch()).count());
    }

    Membership::Queries::DocumentState documentState(const Configuration::RevisionStore& revisions, Base::Duration confirmationAge)
    {
        auto current = revisions.current();
        if (!current)
            return { 0, {}, confirmationAge };
        return { current->document.revision, current->digest, confirmationAge };
    }

} // namespace

ControlNode::ControlNode(const Settings::ProcessSettings& settings, Membership::Role role, ControlNodeParts parts)
    : m_settings(settings)
    , m_parts(parts)
    , m_table(settings.vm, settings.dataCentre)
{
    Membership::Member self;
    self.vm = settings.vm;
    self.address = settings.inner;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.role = role;
    self.incarnation = startIncarnation(parts.clock);
    self.version = 1;
    self.sharedVersion = 1;
    UpdateSelf(m_table).introduce(self, parts.clock.now());
}

ControlNode::~ControlNode()
{
    stop();
}

void ControlNode::start(const std::string& address)
{
    UpdateSelf(m_table).execute([&](Membership::Member& self) { self.address = address; }, m_parts.clock.now());
    for (auto& peer : m_settings.peers) {
        if (peer != address)
            m_unknownContacts.emplace_back(peer, std::string());
    }
    RecordRead(m_schedule, m_parts.random).started(m_parts.clock.now(), Configuration::Queries::peersAskedAtStart);
    m_threads.emplace_back([this] { gossipLoop(); });
    m_threads.emplace_back([this] { readLoop(); });
    m_threads.emplace_back([this] { vmListLoop(); });
}

void ControlNode::stop()
{
    {
        std::lock_guard guard(m_stopLock);
        m_stopped = true;
    }
    m_stopCondition.notify_all();
    m_parts.source.shutDown();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    std::unique_lock guard(m_stopLock);
    m_stopCondition.wait(guard, [this] { return !m_callsUnderWay; });
}

bool ControlNode::beginCall()
{
    std::lock_guard guard(m_stopLock);
    if (m_stopped)
        return false;
    ++m_callsUnderWay;
    return true;
}

void ControlNode::endCall()
{
    // Notifies under the lock, since the object may go as soon as the lock is free.
    std::lock_guard guard(m_stopLock);
    if (!--m_callsUnderWay)
        m_stopCondition.notify_all();
}

bool ControlNode::wait(std::chrono::milliseconds duration)
{
    std::unique_lock guard(m_stopLock);
    m_stopCondition.wait_for(guard, duration, [this] { return m_stopped; });
    return !m_stopped;
}

std::shared_ptr<const DesiredState::Document> ControlNode::document() const
{
    auto current = m_revisions.current();
    if (!current)
        return nullptr;
    return { current, &current->document };
}

std::vector<Membership::Member> ControlNode::members() const
{
    return LiveMembers(m_table).all();
}

Membership::Member ControlNode::self() const
{
    return LiveMembers(m_table).self();
}

bool ControlNode::isSynchronised() const
{
    // The clock is read at each call, since the tick that notices a pause may come after it.
    return m_synchronised && m_parts.clock.now() - m_lastTick.load() <= pauseLimit;
}

void ControlNode::publish(const Membership::TargetLoad& load, const std::vector<Membership::Replica>& replicas)
{
    auto change = [&](Membership::Member& self) {
        self.load = load;
        self.replicas = replicas;
    };
    UpdateSelf(m_table).execute(change, m_parts.clock.now());
    notifyIfChanged();
}

void ControlNode::publishLeaving()
{
    UpdateSelf(m_table).execute([](Membership::Member& self) { self.status = Membership::Status::Leaving; }, m_parts.clock.now());
    spreadNow();
    notifyIfChanged();
}

void ControlNode::addCrashEvidence(uint64_t fingerprint, const std::string& target)
{
    m_evidence.merge({ { fingerprint, target, {} } }, m_parts.clock.now());
    spreadNow();
    notifyIfChanged();
}

std::vector<Membership::CrashEvidence> ControlNode::crashEvidence() const
{
    return m_evidence.recent(m_parts.clock.now());
}

void ControlNode::onChange(std::function<void()> callback)
{
    std::lock_guard guard(m_callbacksLock);
    m_callbacks.push_back(std::move(callback));
}

Membership::GossipMessage ControlNode::exchange(const Membership::GossipMessage& request)
{
    receive(request);
    auto sender = LiveMembers(m_table).find(request.fromVm);
    if (sender)
        learnDocument(sender->address, request);
    auto response = ComposeGossip(m_table).response(request, documentState(m_revisions, confirmationAge()));
    addReports(response);
    RecordTransmission(m_table).execute(response);
    return response;
}

Membership::DocumentReply ControlNode::documentFor(const std::string& heldDigest)
{
    auto current = m_revisions.current();
    if (!current)
        return {};
    Membership::DocumentReply reply;
    reply.digest = current->digest;
    if (auto base = m_revisions.findRecent(heldDigest))
        reply.delta = Configuration::Queries::makeDelta(base->bytes, current->bytes);
    if (reply.delta.empty())
        reply.document = current->bytes;
    return reply;
}

Membership::FleetStatus ControlNode::fleetStatus()
{
    Membership::FleetStatus status;
    status.self = self();
    status.members = members();
    status.poolReports = m_poolReports.all(m_parts.clock.now());
    status.confirmationAge = confirmationAge();
    if (auto current = m_revisions.current()) {
        status.revision = current->document.revision;
        status.documentDigest = current->digest;
    }
    if (auto refused = m_revisions.refused())
        status.refusedDocument = refused->reason;
    return status;
}

void ControlNode::gossipLoop()
{
    do {
        tick();
    } while (wait(tickInterval));
}

void ControlNode::tick()
{
    detectPause();
    auto now = m_parts.clock.now();
    ChangeStatus(m_table).expire(now);
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
    // Without any peer, or with none that answers, the process goes on with what it has.
    if (!m_synchronised && (m_heardPeer || NextRead(m_schedule).mayTrustService(now)))
        finishSynchronising();
    announceRevision();
    notifyIfChanged();
    updateMetrics();
}

void ControlNode::detectPause()
{
    auto now = m_parts.clock.now();
    auto last = m_lastTick.exchange(now);
    if (last == Base::TimePoint {} || now - last <= pauseLimit)
        return;
    Observability::logEvent(processPaused, { { "gap", now - last } });
    m_parts.metrics.count("process_pauses_total");
    m_heardPeer = false;
    m_synchronised = false;
    RecordRead(m_schedule, m_parts.random).started(now, Configuration::Queries::peersAskedAtStart);
    notifyIfChanged();
}

void ControlNode::finishSynchronising()
{
    m_synchronised = true;
    Observability::logEvent(Configuration::synchronised, { { "heard_peer", m_heardPeer.load() } });
}

void ControlNode::gossipWith(const Membership::Member& peer)
{
    contact(peer.address, peer.vm, peer.dataCentre);
}

void ControlNode::contact(const std::string& address, const std::string& vm, const std::string& dataCentre)
{
    if (!beginCall())
        return;
    auto message = ComposeGossip(m_table).request(dataCentre, documentState(m_revisions, confirmationAge()), dataCentre == m_settings.dataCentre ? m_page.load() : m_sharedPage.load());
    addReports(message);
    RecordTransmission(m_table).execute(message);
    m_parts.peers.exchange(address, message, exchangeTimeout, [this, address, vm](std::optional<Membership::GossipMessage> response) {
        if (response)
            noteResponse(address, *response);
        else if (!vm.empty())
            ChangeStatus(m_table).recordFailedProbe(vm, m_parts.clock.now());
        endCall();
    });
}

void ControlNode::noteResponse(const std::string& address, const Membership::GossipMessage& response)
{
    m_heardPeer = true;
    RecordRead(m_schedule, m_parts.random).peerAnswered(m_parts.clock.now());
    receive(response);
    auto ownHash = response.isShared ? m_table.sharedViewHash() : m_table.viewHash();
    (response.isShared ? m_sharedPage : m_page) = { response.pageCursor, response.viewHash != ownHash };
    learnDocument(address, response);
    notifyIfChanged();
}

void ControlNode::contactUnknown()
{
    std::pair<std::string, std::string> contactAddress;
    {
        std::lock_guard guard(m_contactsLock);
        auto known = members();
        std::erase_if(m_unknownContacts, [&](auto& candidate) {
            return std::any_of(known.begin(), known.end(), [&](auto& member) { return member.address == candidate.first; });
        });
        if (m_unknownContacts.empty())
            return;
        contactAddress = m_unknownContacts[m_parts.random.below(m_unknownContacts.size())];
    }
    contact(contactAddress.first, {}, {});
}

void ControlNode::addReports(Membership::GossipMessage& message)
{
    message.crashEvidence = m_evidence.newest(m_parts.clock.now());
    if (!message.isShared || !SelectPeers(m_table, m_parts.random).isRelay())
        return;
    message.poolReports = Membership::Queries::reportPools(m_table, m_poolsReported);
    m_poolsReported += message.poolReports.size();
}

void ControlNode::receive(const Membership::GossipMessage& message)
{
    auto now = m_parts.clock.now();
    MergeMembers(m_table).execute(message.members, now);
    m_evidence.merge(message.crashEvidence, now);
    m_poolReports.merge(message.poolReports, now);
    // A confirmation by the service counts only for the document that this process holds too.
    auto current = m_revisions.current();
    if (!current || current->digest != message.documentDigest)
        return;
    RecordRead(m_schedule, m_parts.random).confirmed(now - message.confirmationAge);
}

void ControlNode::learnDocument(const std::string& address, const Membership::GossipMessage& message)
{
    auto current = m_revisions.current();
    auto revision = current ? current->document.revision : 0;
    auto digest = current ? current->digest : std::string();
    if (message.documentDigest.empty() || !Configuration::isGreater(message.revision, message.documentDigest, revision, digest))
        return;
    if (m_fetching.exchange(true) || !beginCall())
        return;
    m_parts.peers.fetchDocument(address, digest, documentTimeout, [this](std::optional<Membership::DocumentReply> reply) {
        m_fetching = false;
        if (reply)
            acceptFromPeer(*reply);
        endCall();
    });
}

void ControlNode::acceptFromPeer(const Membership::DocumentReply& reply)
{
    if (reply.delta.empty()) {
        if (!reply.document.empty())
            accept(reply.document, "peer");
        return;
    }
    auto current = m_revisions.current();
    if (!current)
        return;
    auto bytes = Configuration::Queries::applyDelta(current->bytes, reply.delta);
    if (!Base::succeeded(bytes) || DesiredState::Queries::documentDigest(Base::valueOf(bytes)) != reply.digest) {
        // The next exchange fetches again; the document in force may have changed meanwhile.
        Observability::logEvent(Configuration::deltaUnusable, { { "digest", reply.digest } });
        return;
    }
    accept(Base::valueOf(bytes), "peer");
}

void ControlNode::accept(const std::string& bytes, const char* origin)
{
    auto result = Configuration::Commands::AcceptDocument(m_revisions).execute(bytes, origin);
    auto refused = m_revisions.refused();
    auto current = m_revisions.current();
    auto change = [&](Membership::Member& self) {
        self.revision = current ? current->document.revision : 0;
        self.refusedDocument = refused ? refused->reason : std::string();
    };
    UpdateSelf(m_table).execute(change, m_parts.clock.now());
    if (Base::succeeded(result))
        spreadNow();
    notifyIfChanged();
}

void ControlNode::spreadNow()
{
    SelectPeers select(m_table, m_parts.random);
    for (auto& peer : select.inDataCentre(spreadFanout))
        gossipWith(peer);
    for (auto& peer : select.acrossDataCentres())
        gossipWith(peer);
}

Configuration::Queries::ReadSituation ControlNode::readSituation() const
{
    auto all = members();
    auto own = self();
    ReaderElection election(all);
    return { election.isReader(own.vm, own.dataCentre), election.candidateCount(own.dataCentre), m_fleetSize, m_revisions.current() != nullptr };
}

bool ControlNode::isReader() const
{
    return readSituation().isReader;
}

void ControlNode::readLoop()
{
    Base::Duration sleep {};
    while (wait(std::chrono::duration_cast<std::chrono::milliseconds>(sleep))) {
        auto plan = NextRead(m_schedule).plan(readSituation());
        auto now = m_parts.clock.now();
        if (plan.isDue(now))
            readOnce(plan.kind);
        sleep = std::clamp(plan.at - now, leastReadSleep, greatestReadSleep);
    }
}

void ControlNode::readOnce(Configuration::Queries::ReadKind kind)
{
    RecordRead record(m_schedule, m_parts.random);
    auto before = m_revisions.current();
    auto revision = before ? before->document.revision : 0;
    auto isWatch = kind == Configuration::Queries::ReadKind::Watch;
    m_parts.metrics.count("configuration_calls_total", { { "kind", isWatch ? "watch" : "read" } });
    record.callStarted(m_parts.clock.now());
    auto result = m_parts.source.read(revision, isWatch ? Configuration::Queries::watchTime : 0ms);
    if (!Base::succeeded(result)) {
        Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
        record.callEnded(m_parts.clock.now(), ReadOutcome::Failed);
        return;
    }
    auto& bytes = Base::valueOf(result);
    if (bytes)
        accept(*bytes, "service");
    auto isNew = m_revisions.current() != before;
    record.callEnded(m_parts.clock.now(), isNew ? ReadOutcome::NewDocument : ReadOutcome::NothingNew);
}

Base::Duration ControlNode::confirmationAge() const
{
    auto confirmedAt = m_schedule.state().confirmedAt;
    return confirmedAt ? m_parts.clock.now() - *confirmedAt : Base::Duration(neverConfirmed);
}

void ControlNode::vmListLoop()
{
    std::chrono::milliseconds interval {};
    while (wait(interval)) {
        interval = isReader() ? readerListInterval : listInterval;
        auto result = m_parts.source.listVms();
        if (!Base::succeeded(result)) {
            Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
            continue;
        }
        m_fleetSize = Base::valueOf(result).size();
        auto own = self();
        for (auto& vm : Base::valueOf(result)) {
            if (vm.leaving && vm.name == own.vm && own.status == Membership::Status::Alive)
                publishLeaving();
            else if (vm.leaving)
                ChangeStatus(m_table).recordLeaving(vm.name, m_parts.clock.now());
            if (vm.name == own.vm || vm.leaving || LiveMembers(m_table).find(vm.name))
                continue;
            std::lock_guard guard(m_contactsLock);
            auto entry = std::make_pair(vm.address, vm.name);
            if (std::find(m_unknownContacts.begin(), m_unknownContacts.end(), entry) == m_unknownContacts.end())
                m_unknownContacts.push_back(entry);
        }
    }
}

void ControlNode::notifyIfChanged()
{
    auto current = m_revisions.current();
    auto change = m_table.changeCount() + m_evidence.changeCount() + (current ? current->document.revision : 0);
    if (m_notifiedChange.exchange(change) == change)
        return;
    std::vector<std::function<void()>> callbacks;
    {
        std::lock_guard guard(m_callbacksLock);
        callbacks = m_callbacks;
    }
    for (auto& callback : callbacks)
        callback();
}

void ControlNode::announceRevision()
{
    auto revision = self().revision;
    auto now = m_parts.clock.now();
    if (revision == m_announcedRevision || now - m_announcedAt < announcementInterval * m_table.entries().size())
        return;
    m_announcedRevision = revision;
    m_announcedAt = now;
    UpdateSelf(m_table).announce();
}

void ControlNode::updateMetrics()
{
    auto current = m_revisions.current();
    m_parts.metrics.set("configuration_revision", {}, current ? static_cast<double>(current->document.revision) : 0);
    m_parts.metrics.set("configuration_confirmation_age_seconds", {}, std::chrono::duration<double>(confirmationAge()).count());
    m_parts.metrics.set("members_known", {}, static_cast<double>(m_table.entries().size()));
}

} // namespace Lavenderloft::Process
