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

// The control plane of one process: gossips members and documents, watches the configuration service
// when it is its turn, and shows the rest of the process what is in force.
class ControlNode final : public ControlView, public Membership::ControlHandler {
public:
    ControlNode(const Settings::ProcessSettings&, Membership::Role, ControlNodeDependencies);
    ~ControlNode() override;

    // Starts the threads. To be called once the inner port answers, with its address as IP:port.
    void start(const std::string& address);

    // Ends the threads and waits for the calls to peers under way, whose callbacks use this object.
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

    // Publishes that the target crashed while a request with the fingerprint ran.
    void addCrashEvidence(uint64_t fingerprint, const std::string& target);

    // Evidence of the last minutes from all processes.
    std::vector<Membership::CrashEvidence> crashEvidence() const;

    const Configuration::RevisionStore& revisions() const { return m_revisions; }

private:
    void gossipLoop();
    void vmListLoop();
    void noteListed(const ListedVm&);
    void tick();
    void detectPause();
    void noteResponse(const std::string& address, const Membership::GossipMessage&);
    void noteConfirmation(const Membership::GossipMessage&);
    void noteOffered(bool isAccepted);
    void notifyIfChanged();
    void finishSynchronising();
    void announceRevision();
    void updateMetrics();
    Membership::Queries::DocumentState documentState() const;

    const Settings::ProcessSettings m_settings;
    ControlNodeDependencies m_parts;
    Membership::MemberTable m_table;
    Configuration::RevisionStore m_revisions;
    CallGate m_gate;
    DocumentReader m_reader;
    DocumentExchange m_documents;
    GossipRounds m_gossip;

    std::atomic<bool> m_synchronised { false };
    std::atomic<bool> m_heardPeer { false };
    std::atomic<uint64_t> m_notifiedChange { 0 };
    uint64_t m_announcedRevision = 0;
    Base::TimePoint m_announcedAt {};
    std::atomic<Base::TimePoint> m_lastTick { Base::TimePoint {} };

    std::mutex m_callbacksLock;
    std::vector<std::function<void()>> m_callbacks;

    std::vector<std::thread> m_threads;
};

} // namespace Lavenderloft::Process
