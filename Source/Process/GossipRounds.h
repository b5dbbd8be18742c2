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
    // What is told of the document in force.
    using DocumentState = std::function<Membership::Queries::DocumentState()>;
    // Called with each response, after its members were merged.
    using Responded = std::function<void(const std::string& address, const Membership::GossipMessage&)>;

    GossipRounds(ControlNodeDependencies, Membership::MemberTable&, CallGate&, DocumentState, Responded);

    // Begins the exchanges that are due. To be called four times a second.
    void tick();

    // Tells some neighbours and, on a relay, another data centre at once.
    void spreadNow();

    // Answers an exchange.
    Membership::GossipMessage answer(const Membership::GossipMessage& request);

    // Adds an address to be contacted until a member with it is known; `vm` may be empty.
    void addContact(const std::string& address, const std::string& vm);

    void addEvidence(const Membership::CrashEvidence&);
    const Membership::CrashEvidenceTable& evidence() const { return m_evidence; }
    const Membership::PoolReportTable& poolReports() const { return m_poolReports; }

private:
    void gossipWith(const Membership::Member&);
    void contact(const std::string& address, const std::string& vm, const std::string& dataCentre);
    void contactUnknown();
    void addReports(Membership::GossipMessage&);
    void merge(const Membership::GossipMessage&);
    void noteResponse(const std::string& address, const Membership::GossipMessage&);

    ControlNodeDependencies m_parts;
    Membership::MemberTable& m_table;
    CallGate& m_gate;
    const DocumentState m_documentState;
    const Responded m_responded;
    Membership::CrashEvidenceTable m_evidence;
    Membership::PoolReportTable m_poolReports;
    // Pools that the reports sent so far have covered.
    std::atomic<size_t> m_poolsReported { 0 };
    // For exchanges within the data centre, and for those with others.
    std::atomic<Membership::Queries::PageState> m_page;
    std::atomic<Membership::Queries::PageState> m_sharedPage;
    std::atomic<uint64_t> m_ticks { 0 };

    std::mutex m_contactsLock;
    std::vector<std::pair<std::string, std::string>> m_unknownContacts;
};

} // namespace Lavenderloft::Process
