#pragma once

#include "Configuration/Queries/NextRead.h"
#include "Configuration/ReadSchedule.h"
#include "Configuration/RevisionStore.h"
#include "Membership/MemberTable.h"
#include "Process/CallGate.h"
#include "Process/ControlNodeDependencies.h"

#include <atomic>
#include <functional>
#include <string>

namespace Lavenderloft::Process {

// Reads and watches the configuration service if this process is an elected reader, and keeps track of the
// service's latest confirmation of the document in force.
class DocumentReader {
public:
    using AcceptHandler = std::function<void(const std::string& bytes)>;

    DocumentReader(ControlNodeDependencies, const Membership::MemberTable&, const Configuration::RevisionStore&, CallGate&, AcceptHandler);

    // Runs the read loop until the gate is closed.
    void run();

    // Restarts the schedule after the start or a pause: peers are queried before the service is trusted.
    void restart();

    void recordPeerResponse();

    // Records that, according to a peer, the service confirmed the document in force at the given time.
    void recordConfirmation(Base::TimePoint);

    // Whether the service may be trusted even though no peer has responded.
    bool isPeerQueryFinished() const;

    // Whether this process is an elected reader of its data centre.
    bool isReader() const;

    Base::Duration confirmationAge() const;
    void setFleetSize(size_t size) { m_fleetSize = size; }

private:
    void readOnce(Configuration::Queries::ReadKind);
    Configuration::Queries::ReadContext context() const;

    ControlNodeDependencies m_dependencies;
    const Membership::MemberTable& m_table;
    const Configuration::RevisionStore& m_revisions;
    CallGate& m_gate;
    const AcceptHandler m_acceptHandler;
    Configuration::ReadSchedule m_schedule;
    // Number of entries in the VM list; 0 until the list has been read.
    std::atomic<size_t> m_fleetSize { 0 };
};

} // namespace Lavenderloft::Process
