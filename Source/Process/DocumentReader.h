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

// Reads and watches the configuration service when it is this process's turn, and keeps the age of its
// newest confirmation.
class DocumentReader {
public:
    using Accept = std::function<void(const std::string& bytes)>;

    DocumentReader(ControlNodeDependencies, const Membership::MemberTable&, const Configuration::RevisionStore&, CallGate&, Accept);

    // Reads until the gate is closed.
    void run();

    // Begins anew, after the start or a pause: peers are asked before the service is trusted.
    void restart();

    void notePeerAnswered();

    // The service confirmed the document in force, as a peer says, at the given time.
    void noteConfirmed(Base::TimePoint);

    // Whether the service may be trusted although no peer has answered.
    bool isPeerQueryFinished() const;

    // Whether this process is a reader of its data centre.
    bool isReader() const;

    Base::Duration confirmationAge() const;
    void setFleetSize(size_t size) { m_fleetSize = size; }

private:
    void readOnce(Configuration::Queries::ReadKind);
    Configuration::Queries::ReadContext context() const;

    ControlNodeDependencies m_parts;
    const Membership::MemberTable& m_table;
    const Configuration::RevisionStore& m_revisions;
    CallGate& m_gate;
    const Accept m_accept;
    Configuration::ReadSchedule m_schedule;
    // Processes in the list of VMs; 0 until it was read.
    std::atomic<size_t> m_fleetSize { 0 };
};

} // namespace Lavenderloft::Process
