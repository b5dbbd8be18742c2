#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/MemberTable.h"
#include "Membership/Queries/SelectUpdates.h"

namespace Lavenderloft::Membership::Queries {

// State of the sender's active document that gossip carries.
struct DocumentState {
    uint64_t revision = 0;
    std::string digest;
    Base::Duration confirmationAge {};
};

// Paging state kept between exchanges.
struct PageState {
    // Position of the end of the last page.
    uint64_t cursor = 0;
    // Whether the views differed; if so, the next request carries the part hashes.
    bool viewsDiffer = true;
};

// Composes the request and response of a gossip exchange.
class ComposeGossip {
public:
    explicit ComposeGossip(const MemberTable& table)
        : m_table(table)
    {
    }

    // `peerDataCentre` is empty if it is unknown. Only peers of the local data centre receive complete records.
    GossipMessage request(const std::string& peerDataCentre, const DocumentState&, const PageState&) const;

    // If the views differ, the response carries a page of members of the differing parts in addition to the updates.
    GossipMessage response(const GossipMessage& request, const DocumentState&) const;

private:
    PartSet differingParts(const GossipMessage& request) const;
    GossipMessage compose(const DocumentState&, RecordScope) const;

    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
