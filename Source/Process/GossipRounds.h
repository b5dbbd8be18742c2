#pragma once

#include "Membership/CrashEvidenceTable.h"
#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"
#include "Membership/PoolReportTable.h"
#include "Membership/Queries/ComposeGossip.h"
#include "Process/CallGate.h"
#include "Process/ControlNodeDependencies.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Lavenderloft::Process {

// Exchanges members, crash evidence and pool reports with other processes.
class GossipRounds {
public:
    // Returns the revision and digest of the document in force and the age of its confirmation.
    using DocumentStateProvider = std::function<Membership::Queries::DocumentState()>;
    // Called with each response after its members have been merged.
    using ResponseHandler = std::function<void(const std::string& address, const Membership::GossipMessage&)>;

    GossipRounds(ControlNodeDependencies, Membership::MemberTable&, CallGate&, DocumentStateProvider, ResponseHandler);

    // Starts the exchanges that are due. Call four times a second.
    void tick();

    // Exchanges immediately with some peers of the data centre and, on a relay, with another data centre.
    void gossipNow();

    Membership::GossipMessage respondTo(const Membership::GossipMessage& request);

    // Adds an address that is contacted until a member with this address is known; `vm` may be empty.
    void addContact(const std::string& address, const std::string& vm);

    void addCrashEvidence(const Membership::CrashEvidence&);
    const Membership::CrashEvidenceTable& crashEvidence() const { return m_crashEvidence; }
    const Membership::PoolReportTable& poolReports() const { return m_poolReports; }

private:
    void gossipWith(const Membership::Member&);
    void contact(const std::string& address, const std::string& vm, const std::string& dataCentre);
    void contactUnknownPeer();
    void addReports(Membership::GossipMessage&);
    void merge(const Membership::GossipMessage&);
    void handleResponse(const std::string& address, const Membership::GossipMessage&);

    ControlNodeDependencies m_dependencies;
    Membership::MemberTable& m_table;
    CallGate& m_gate;
    const DocumentStateProvider m_documentState;
    const ResponseHandler m_responseHandler;
    Membership::CrashEvidenceTable m_crashEvidence;
    Membership::PoolReportTable m_poolReports;
    // Number of pool reports sent so far; the next message starts with the pool at this offset.
    std::atomic<size_t> m_poolReportCursor { 0 };
    // Paging of the member list in exchanges within the data centre and with other data centres.
    std::atomic<Membership::Queries::PageState> m_pageState;
    std::atomic<Membership::Queries::PageState> m_sharedPageState;
    std::atomic<uint64_t> m_ticks { 0 };

    std::mutex m_contactsLock;
    std::vector<std::pair<std::string, std::string>> m_pendingContacts;
};

} // namespace Lavenderloft::Process
