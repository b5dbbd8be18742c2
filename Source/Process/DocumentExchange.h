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

// Exchanges documents with peers: fetches newer ones, applies those that are accepted and serves the one in force.
class DocumentExchange {
public:
    // Called after each offered document with whether it came into force.
    using OfferHandler = std::function<void(bool isAccepted)>;

    DocumentExchange(ControlNodeDependencies, Membership::MemberTable&, Configuration::RevisionStore&, CallGate&, OfferHandler);

    // Fetches the document named in a message if it is newer than the one in force.
    void fetchIfNewer(const std::string& address, const Membership::GossipMessage&);

    // Validates a document and applies it if it is newer than the one in force; `origin` is logged.
    void accept(const std::string& bytes, const char* origin);

    // Returns the document in force, as a delta if the document that the peer holds is still known.
    Membership::DocumentReply makeReply(const std::string& heldDigest) const;

private:
    void acceptFromPeer(const Membership::DocumentReply&);

    ControlNodeDependencies m_dependencies;
    Membership::MemberTable& m_table;
    Configuration::RevisionStore& m_revisions;
    CallGate& m_gate;
    const OfferHandler m_offerHandler;
    std::atomic<bool> m_isFetching { false };
};

} // namespace Lavenderloft::Process
