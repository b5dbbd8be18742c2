#include "Process/ControlNode.h"

#include "Configuration/Events.h"
#include "Membership/Commands/ChangeStatus.h"
#include "Membership/Commands/UpdateSelf.h"
#include "Membership/Queries/LiveMembers.h"
#include "Observability/Log.h"
#include "Process/Events.h"

namespace Lavenderloft::Process {

using namespace std::chrono_literals;
using Membership::Commands::ChangeStatus;
using Membership::Commands::UpdateSelf;
using Membership::Queries::LiveMembers;

namespace {

    constexpr auto tickInterval = 250ms;
    // A longer gap between two ticks means that the process was paused.
    constexpr auto pauseLimit = 2s;
    constexpr auto readerListInterval = 5s;
    constexpr auto listInterval = 30s;
    // Time for each member of the fleet between two announcements of the revision in force: every process of
    // the data centre hears of every announcement, so that the bytes a second must not grow with the fleet.
    constexpr auto announcementInterval = 50ms;

    uint64_t startIncarnation(const Base::Clock& clock)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(clock.wallTime().time_since_epoch()).count());
    }

} // namespace

ControlNode::ControlNode(const Settings::ProcessSettings& settings, Membership::Role role, ControlNodeDependencies parts)
    : m_settings(settings)
    , m_parts(parts)
    , m_table(settings.vm, settings.dataCentre)
    , m_reader(parts, m_table, m_revisions, m_gate, [this](const std::string& bytes) { m_documents.accept(bytes, "service"); })
    , m_documents(parts, m_table, m_revisions, m_gate, [this](bool isAccepted) { noteOffered(isAccepted); })
    , m_gossip(
          parts, m_table, m_gate, [this] { return documentState(); }, [this](const std::string& address, const Membership::GossipMessage& response) { noteResponse(address, response); })
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
    UpdateSelf(m_table).insertSelf(self, parts.clock.now());
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
            m_gossip.addContact(peer, {});
    }
    m_reader.restart();
    m_threads.emplace_back([this] { gossipLoop(); });
    m_threads.emplace_back([this] { m_reader.run(); });
    m_threads.emplace_back([this] { vmListLoop(); });
}

void ControlNode::stop()
{
    m_gate.close();
    m_parts.source.shutDown();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    m_gate.waitForCalls();
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
    m_gossip.spreadNow();
    notifyIfChanged();
}

void ControlNode::addCrashEvidence(uint64_t fingerprint, const std::string& target)
{
    m_gossip.addEvidence({ fingerprint, target, {} });
    m_gossip.spreadNow();
    notifyIfChanged();
}

std::vector<Membership::CrashEvidence> ControlNode::crashEvidence() const
{
    return m_gossip.evidence().recent(m_parts.clock.now());
}

void ControlNode::onChange(std::function<void()> callback)
{
    std::lock_guard guard(m_callbacksLock);
    m_callbacks.push_back(std::move(callback));
}

Membership::GossipMessage ControlNode::exchange(const Membership::GossipMessage& request)
{
    noteConfirmation(request);
    auto response = m_gossip.answer(request);
    if (auto sender = LiveMembers(m_table).find(request.fromVm))
        m_documents.learn(sender->address, request);
    return response;
}

Membership::DocumentReply ControlNode::documentFor(const std::string& heldDigest)
{
    return m_documents.replyTo(heldDigest);
}

Membership::FleetStatus ControlNode::fleetStatus()
{
    Membership::FleetStatus status;
    status.self = self();
    status.members = members();
    status.poolReports = m_gossip.poolReports().all(m_parts.clock.now());
    status.confirmationAge = m_reader.confirmationAge();
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
    } while (m_gate.wait(tickInterval));
}

void ControlNode::tick()
{
    detectPause();
    ChangeStatus(m_table).expire(m_parts.clock.now());
    m_gossip.tick();
    // Without any peer, or with none that answers, the process goes on with what it has.
    if (!m_synchronised && (m_heardPeer || m_reader.isPeerQueryFinished()))
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
    m_reader.restart();
    notifyIfChanged();
}

void ControlNode::finishSynchronising()
{
    m_synchronised = true;
    Observability::logEvent(Configuration::synchronised, { { "heard_peer", m_heardPeer.load() } });
}

void ControlNode::noteResponse(const std::string& address, const Membership::GossipMessage& response)
{
    m_heardPeer = true;
    m_reader.notePeerAnswered();
    noteConfirmation(response);
    m_documents.learn(address, response);
    notifyIfChanged();
}

// A confirmation by the service counts only for the document that this process holds too.
void ControlNode::noteConfirmation(const Membership::GossipMessage& message)
{
    auto current = m_revisions.current();
    if (current && current->digest == message.documentDigest)
        m_reader.noteConfirmed(m_parts.clock.now() - message.confirmationAge);
}

void ControlNode::noteOffered(bool isAccepted)
{
    if (isAccepted)
        m_gossip.spreadNow();
    notifyIfChanged();
}

void ControlNode::vmListLoop()
{
    std::chrono::milliseconds interval {};
    while (m_gate.wait(interval)) {
        interval = m_reader.isReader() ? readerListInterval : listInterval;
        auto result = m_parts.source.listVms();
        if (!Base::succeeded(result)) {
            Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
            continue;
        }
        m_reader.setFleetSize(Base::valueOf(result).size());
        for (auto& vm : Base::valueOf(result))
            noteListed(vm);
    }
}

void ControlNode::noteListed(const ListedVm& vm)
{
    auto own = self();
    if (vm.leaving && vm.name == own.vm && own.status == Membership::Status::Alive)
        return publishLeaving();
    if (vm.leaving)
        return ChangeStatus(m_table).recordLeaving(vm.name, m_parts.clock.now());
    if (vm.name != own.vm && !LiveMembers(m_table).find(vm.name))
        m_gossip.addContact(vm.address, vm.name);
}

void ControlNode::notifyIfChanged()
{
    auto current = m_revisions.current();
    auto change = m_table.changeCount() + m_gossip.evidence().changeCount() + (current ? current->document.revision : 0);
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

Membership::Queries::DocumentState ControlNode::documentState() const
{
    auto current = m_revisions.current();
    if (!current)
        return { 0, {}, m_reader.confirmationAge() };
    return { current->document.revision, current->digest, m_reader.confirmationAge() };
}

void ControlNode::updateMetrics()
{
    auto current = m_revisions.current();
    m_parts.metrics.set("configuration_revision", {}, current ? static_cast<double>(current->document.revision) : 0);
    m_parts.metrics.set("configuration_confirmation_age_seconds", {}, std::chrono::duration<double>(m_reader.confirmationAge()).count());
    m_parts.metrics.set("members_known", {}, static_cast<double>(m_table.entries().size()));
}

} // namespace Lavenderloft::Process
