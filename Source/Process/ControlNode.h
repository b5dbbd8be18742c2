#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Configuration/Queries/NextRead.h"
#include "Configuration/ReadSchedule.h"
#include "Configuration/RevisionStore.h"
#include "Membership/ControlHandler.h"
#include "Membership/CrashEvidenceTable.h"
#include "Membership/MemberTable.h"
#include "Membership/PeerClient.h"
#include "Membership/PoolReportTable.h"
#include "Membership/Queries/ComposeGossip.h"
#include "Observability/Metrics.h"
#include "Process/ConfigurationSource.h"
#include "Process/ControlView.h"
#include "Settings/ProcessSettings.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Lavenderloft::Process {

// What a control node works with; all referenced objects must outlive it.
struct ControlNodeParts {
    const Base::Clock& clock;
    Base::RandomSource& random;
    Membership::PeerClient& peers;
    ConfigurationSource& source;
    Observability::Metrics& metrics;
};

// The control plane of one process: gossips members and documents, watches the configuration service
// when it is its turn, and shows the rest of the process what is in force.
class ControlNode final : public ControlView, public Membership::ControlHandler {
public:
    ControlNode(const Settings::ProcessSettings&, Membership::Role, ControlNodeParts);
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
    void readLoop();
    void vmListLoop();
    void tick();
    void detectPause();
    void gossipWith(const Membership::Member&);
    void contact(const std::string& address, const std::string& vm, const std::string& dataCentre);
    void noteResponse(const std::string& address, const Membership::GossipMessage&);
    void contactUnknown();
    void addReports(Membership::GossipMessage&);
    void receive(const Membership::GossipMessage&);
    void learnDocument(const std::string& address, const Membership::GossipMessage&);
    void acceptFromPeer(const Membership::DocumentReply&);
    void accept(const std::string& bytes, const char* origin);
    void readOnce(Configuration::Queries::ReadKind);
    Configuration::Queries::ReadSituation readSituation() const;
    bool isReader() const;
    bool wait(std::chrono::milliseconds);
    bool beginCall();
    void endCall();
    void notifyIfChanged();
    void spreadNow();
    void finishSynchronising();
    void announceRevision();
    void updateMetrics();
    Base::Duration confirmationAge() const;

    const Settings::ProcessSettings m_settings;
    ControlNodeParts m_parts;
    Membership::MemberTable m_table;
    Configuration::RevisionStore m_revisions;
    Membership::CrashEvidenceTable m_evidence;
    Membership::PoolReportTable m_poolReports;
    // Pools that the reports sent so far have covered.
    std::atomic<size_t> m_poolsReported { 0 };

    Configuration::ReadSchedule m_schedule;
    std::atomic<bool> m_synchronised { false };
    std::atomic<bool> m_heardPeer { false };
    std::atomic<bool> m_fetching { false };
    // For exchanges within the data centre, and for those with others.
    std::atomic<Membership::Queries::PageState> m_page;
    std::atomic<Membership::Queries::PageState> m_sharedPage;
    std::atomic<uint64_t> m_notifiedChange { 0 };
    uint64_t m_announcedRevision = 0;
    Base::TimePoint m_announcedAt {};
    std::atomic<uint64_t> m_ticks { 0 };
    // Processes in the list of VMs; 0 until it was read.
    std::atomic<size_t> m_fleetSize { 0 };
    std::atomic<Base::TimePoint> m_lastTick { Base::TimePoint {} };

    std::mutex m_contactsLock;
    std::vector<std::pair<std::string, std::string>> m_unknownContacts;

    std::mutex m_callbacksLock;
    std::vector<std::function<void()>> m_callbacks;

    std::mutex m_stopLock;
    std::condition_variable m_stopCondition;
    bool m_stopped = false;
    size_t m_callsUnderWay = 0;
    std::vector<std::thread> m_threads;
};

} // namespace Lavenderloft::Process
