#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"

namespace Lavenderloft::Membership::Queries {

// The document in force at the sender, as far as gossip needs it.
struct DocumentState {
    uint64_t revision = 0;
    std::string digest;
    Base::Duration confirmationAge {};
};

// Composes the messages of an exchange.
class ComposeGossip {
public:
    explicit ComposeGossip(const MemberTable& table)
        : m_table(table)
    {
    }

    // Opens an exchange; the cursor is where the last page of members ended.
    GossipMessage request(const DocumentState&, uint64_t pageCursor) const;

    // Answers one. If the views differ, the response carries a page of members beside the updates.
    GossipMessage response(const GossipMessage& request, const DocumentState&) const;

private:
    GossipMessage compose(const DocumentState&) const;

    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
