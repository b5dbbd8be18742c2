#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"
#include "Membership/Queries/SelectUpdates.h"

namespace Lavenderloft::Membership::Queries {

// The document in force at the sender, as far as gossip needs it.
struct DocumentState {
    uint64_t revision = 0;
    std::string digest;
    Base::Duration confirmationAge {};
};

// What a process keeps of its last exchange.
struct PageState {
    // Where the last page of members ended.
    uint64_t cursor = 0;
    // Whether the views differed; the next request then says in which parts.
    bool viewsDiffer = true;
};

// Composes the messages of an exchange.
class ComposeGossip {
public:
    explicit ComposeGossip(const MemberTable& table)
        : m_table(table)
    {
    }

    // Opens an exchange with a process of the data centre, which is empty if it is not known. Only processes of the own data centre receive full records.
    GossipMessage request(const std::string& peerDataCentre, const DocumentState&, const PageState&) const;

    // Answers one. If the views differ, the response carries a page of members of the
    // differing parts beside the updates.
    GossipMessage response(const GossipMessage& request, const DocumentState&) const;

private:
    PartSet differingParts(const GossipMessage& request) const;
    GossipMessage compose(const DocumentState&, Extent) const;

    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
