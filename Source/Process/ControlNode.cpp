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
    // A longer gap between two ticks means that the process was suspended.
    constexpr auto pauseLimit = 2s;
    constexpr auto readerVmListInterval = 5s;
    constexpr auto vmListInterval = 30s;
    // Every process of the data centre receives every announcement of a revision, so the interval between two
    // announcements grows with the number of members to keep the traffic per process constant.
    constexpr auto announcementIntervalPerMember = 50ms;

    uint64_t startIncarnation(const Base::Clock& clock)
    {
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(clock.wallTime().time_since_epoch()).count());
    }

} // namespace

ControlNode::ControlNode(const Settings::ProcessSettings& settings, Membership::Role role, ControlNodeDependencies dependencies)
    : m_settings(settings)
    , m_dependencies(dependencies)
    , m_table(settings.vm, settings.dataCentre)
    , m_reader(dependencies, m_table, m_revisions, m_gate, [this](const std::string& bytes) { m_documents.accept(bytes, "service"); })
    , m_documents(dependencies, m_table, m_revisions, m_gate, [this](bool isAccepted) { handleOfferedDocument(isAccepted); })
    , m_gossip(
          dependencies, m_table, m_gate, [this] { return documentState(); }, [this](const std::string& address, const Membership::GossipMessage& response) { handleResponse(address, response); })
{
    Membership::Member self;
    self.vm = settings.vm;
    self.address = settings.inner;
    self.dataCentre = settings.dataCentre;
    self.region = settings.region;
    self.role = role;
    self.incarnation = startIncarnation(dependencies.clock);
    self.version = 1;
    self.sharedVersion = 1;
    UpdateSelf(m_table).insertSelf(self, dependencies.clock.now());
}

ControlNode::~ControlNode()
{
    stop();
}

void ControlNode::start(const std::string& address)
{
    UpdateSelf(m_table).execute([&](Membership::Member& self) { self.address = address; }, m_dependencies.clock.now());
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
    m_dependencies.source.shutDown();
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
    // Reads the clock on each call, because after a pause this may run before the tick that detects the pause.
    return m_isSynchronised && m_dependencies.clock.now() - m_lastTick.load() <= pauseLimit;
}

void ControlNode::publish(const Membership::TargetLoad& load, const std::vector<Membership::Replica>& replicas)
{
    auto change = [&](Membership::Member& self) {
        self.load = load;
        self.replicas = replicas;
    };
    UpdateSelf(m_table).execute(change, m_dependencies.clock.now());
    notifyIfChanged();
}

void ControlNode::publishLeaving()
{
    UpdateSelf(m_table).execute([](Membership::Member& self) { self.status = Membership::Status::Leaving; }, m_dependencies.clock.now());
    m_gossip.gossipNow();
    notifyIfChanged();
}

void ControlNode::addCrashEvidence(uint64_t fingerprint, const std::string& target)
{
    m_gossip.addCrashEvidence({ fingerprint, target, {} });
    m_gossip.gossipNow();
    notifyIfChanged();
}

std::vector<Membership::CrashEvidence> ControlNode::crashEvidence() const
{
    return m_gossip.crashEvidence().recent(m_dependencies.clock.now());
}

void ControlNode::onChange(std::function<void()> callback)
{
    std::lock_guard guard(m_callbacksLock);
    m_callbacks.push_back(std::move(callback));
}

Membership::GossipMessage ControlNode::exchange(const Membership::GossipMessage& request)
{
    recordConfirmation(request);
    auto response = m_gossip.respondTo(request);
    if (auto sender = LiveMembers(m_table).find(request.fromVm))
        m_documents.fetchIfNewer(sender->address, request);
    return response;
}

Membership::DocumentReply ControlNode::documentFor(const std::string& heldDigest)
{
    return m_documents.makeReply(heldDigest);
}

Membership::FleetStatus ControlNode::fleetStatus()
{
    Membership::FleetStatus status;
    status.self = self();
    status.members = members();
    status.poolReports = m_gossip.poolReports().all(m_dependencies.clock.now());
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
    ChangeStatus(m_table).expire(m_dependencies.clock.now());
    m_gossip.tick();
    // If no peer responds, the process continues with its own state once the peer query has finished.
    if (!m_isSynchronised && (m_hasHeardPeer || m_reader.isPeerQueryFinished()))
        finishSynchronising();
    announceRevision();
    notifyIfChanged();
    updateMetrics();
}

void ControlNode::detectPause()
{
    auto now = m_dependencies.clock.now();
    auto last = m_lastTick.exchange(now);
    if (last == Base::TimePoint {} || now - last <= pauseLimit)
        return;
    Observability::logEvent(processPaused, { { "gap", now - last } });
    m_dependencies.metrics.count("process_pauses_total");
    m_hasHeardPeer = false;
    m_isSynchronised = false;
    m_reader.restart();
    notifyIfChanged();
}

void ControlNode::finishSynchronising()
{
    m_isSynchronised = true;
    Observability::logEvent(Configuration::synchronised, { { "heard_peer", m_hasHeardPeer.load() } });
}

void ControlNode::handleResponse(const std::string& address, const Membership::GossipMessage& response)
{
    m_hasHeardPeer = true;
    m_reader.recordPeerResponse();
    recordConfirmation(response);
    m_documents.fetchIfNewer(address, response);
    notifyIfChanged();
}

// A confirmation by the service applies only if the sender holds the same document as this process.
void ControlNode::recordConfirmation(const Membership::GossipMessage& message)
{
    auto current = m_revisions.current();
    if (current && current->digest == message.documentDigest)
        m_reader.recordConfirmation(m_dependencies.clock.now() - message.confirmationAge);
}

void ControlNode::handleOfferedDocument(bool isAccepted)
{
    if (isAccepted)
        m_gossip.gossipNow();
    notifyIfChanged();
}

void ControlNode::vmListLoop()
{
    std::chrono::milliseconds interval {};
    while (m_gate.wait(interval)) {
        interval = m_reader.isReader() ? readerVmListInterval : vmListInterval;
        auto result = m_dependencies.source.listVms();
        if (!Base::succeeded(result)) {
            Observability::logEvent(Configuration::sourceUnavailable, { { "reason", Base::errorOf(result).describe() } });
            continue;
        }
        m_reader.setFleetSize(Base::valueOf(result).size());
        for (auto& vm : Base::valueOf(result))
            applyListedVm(vm);
    }
}

void ControlNode::applyListedVm(const ListedVm& vm)
{
    auto ownMember = self();
    if (vm.leaving && vm.name == ownMember.vm && ownMember.status == Membership::Status::Alive)
        return publishLeaving();
    if (vm.leaving)
        return ChangeStatus(m_table).recordLeaving(vm.name, m_dependencies.clock.now());
    if (vm.name != ownMember.vm && !LiveMembers(m_table).find(vm.name))
        m_gossip.addContact(vm.address, vm.name);
}

void ControlNode::notifyIfChanged()
{
    auto current = m_revisions.current();
    auto change = m_table.changeCount() + m_gossip.crashEvidence().changeCount() + (current ? current->document.revision : 0);
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
    auto now = m_dependencies.clock.now();
    if (revision == m_announcedRevision || now - m_announcedAt < announcementIntervalPerMember * m_table.entries().size())
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
    m_dependencies.metrics.set("configuration_revision", {}, current ? static_cast<double>(current->document.revision) : 0);
    m_dependencies.metrics.set("configuration_confirmation_age_seconds", {}, std::chrono::duration<double>(m_reader.confirmationAge()).count());
    m_dependencies.metrics.set("members_known", {}, static_cast<double>(m_table.entries().size()));
}

} // namespace Lavenderloft::Process
