#pragma once

#include "Configuration/RevisionStore.h"
#include "Membership/ControlHandler.h"
#include "Membership/MemberTable.h"
#include "Process/CallGate.h"
#include "Process/ControlNodeDependencies.h"
#include "Process/ControlView.h"
#include "Process/DocumentExchange.h"
#include "Process/DocumentReader.h"
#include "Process/GossipRounds.h"
#include "Settings/ProcessSettings.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace Lavenderloft::Process {

// The control plane of one process: gossips members and documents, watches the configuration service if this
// process is an elected reader, and provides the document in force and the members to the rest of the process.
class ControlNode final : public ControlView, public Membership::ControlHandler {
public:
    ControlNode(const Settings::ProcessSettings&, Membership::Role, ControlNodeDependencies);
    ~ControlNode() override;

    // Starts the threads. Call once the inner port is served, with its address as IP:port.
    void start(const std::string& address);

    // Joins the threads and waits for the calls to peers in flight, whose callbacks use this object.
    void stop();

    std::shared_ptr<const DesiredState::Document> document() const override;
    std::vector<Membership::Member> members() const override;
    Membership::Member self() const override;
    bool isSynchronised() const override;
    void publish(const Membership::TargetLoad&, const std::vector<Membership::Replica>&) override;
    void publishLeaving() override;
    void onChange(std::function<void()>) override;

    Membership::GossipMessage exchange(const Membership::GossipMessage& request) override;
    Membership::DocumentReply documentFor(const std::string& heldDigest) override;
    Membership::FleetStatus fleetStatus() override;

    // Publishes that the target crashed while it ran a request with this fingerprint.
    void addCrashEvidence(uint64_t fingerprint, const std::string& target);

    // Crash evidence of the last minutes from all processes.
    std::vector<Membership::CrashEvidence> crashEvidence() const;

    const Configuration::RevisionStore& revisions() const { return m_revisions; }

private:
    void gossipLoop();
    void vmListLoop();
    void applyListedVm(const ListedVm&);
    void tick();
    void detectPause();
    void handleResponse(const std::string& address, const Membership::GossipMessage&);
    void recordConfirmation(const Membership::GossipMessage&);
    void handleOfferedDocument(bool isAccepted);
    void notifyIfChanged();
    void finishSynchronising();
    void announceRevision();
    void updateMetrics();
    Membership::Queries::DocumentState documentState() const;

    const Settings::ProcessSettings m_settings;
    ControlNodeDependencies m_dependencies;
    Membership::MemberTable m_table;
    Configuration::RevisionStore m_revisions;
    CallGate m_gate;
    DocumentReader m_reader;
    DocumentExchange m_documents;
    GossipRounds m_gossip;

    std::atomic<bool> m_isSynchronised { false };
    std::atomic<bool> m_hasHeardPeer { false };
    std::atomic<uint64_t> m_notifiedChange { 0 };
    uint64_t m_announcedRevision = 0;
    Base::TimePoint m_announcedAt {};
    std::atomic<Base::TimePoint> m_lastTick { Base::TimePoint {} };

    std::mutex m_callbacksLock;
    std::vector<std::function<void()>> m_callbacks;

    std::vector<std::thread> m_threads;
};

} // namespace Lavenderloft::Process
