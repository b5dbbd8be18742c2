#pragma once

#include "Configuration/RevisionStore.h"
#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"
#include "Process/CallGate.h"
#include "Process/ControlNodeDependencies.h"

#include <atomic>
#include <functional>
#include <string>

namespace Lavenderloft::Process {

// Fetches greater documents from peers, gives them the one in force, and brings accepted ones into force.
class DocumentExchange {
public:
    // Called after each document that was offered, with whether it came into force.
    using Offered = std::function<void(bool isAccepted)>;

    DocumentExchange(ControlNodeDependencies, Membership::MemberTable&, Configuration::RevisionStore&, CallGate&, Offered);

    // Fetches the document that a message names if it is greater than the one in force.
    void learn(const std::string& address, const Membership::GossipMessage&);

    // Checks a document and brings it into force if it is greater; `origin` is for the log.
    void accept(const std::string& bytes, const char* origin);

    // What a peer gets that holds the document of the digest.
    Membership::DocumentReply replyTo(const std::string& heldDigest) const;

private:
    void acceptFromPeer(const Membership::DocumentReply&);

    ControlNodeDependencies m_parts;
    Membership::MemberTable& m_table;
    Configuration::RevisionStore& m_revisions;
    CallGate& m_gate;
    const Offered m_offered;
    std::atomic<bool> m_isFetching { false };
};

} // namespace Lavenderloft::Process
