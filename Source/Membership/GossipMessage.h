#pragma once

#include "Base/Clock.h"
#include "Membership/Member.h"
#include "Membership/PoolReport.h"

#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// Evidence that a request crashed a target.
struct CrashEvidence {
    // Hash of organisation and body of the request.
    uint64_t fingerprint = 0;
    std::string target;
    Base::Duration age {};

    bool operator==(const CrashEvidence&) const = default;
};

// A request or a response of one gossip exchange.
struct GossipMessage {
    std::string fromVm;
    std::string fromDataCentre;
    // Whether the members and the view hash cover only the shared parts of records, as in messages between
    // data centres.
    bool isShared = false;
    // Revision and digest of the active document; zero and empty if there is none.
    uint64_t revision = 0;
    std::string documentDigest;
    // The sender's own record first, then updates.
    std::vector<Member> members;
    std::vector<CrashEvidence> crashEvidence;
    // Reports of the pools in the sender's data centre; only in messages between data centres.
    std::vector<PoolReport> poolReports;
    // Time since the configuration service last confirmed the document.
    Base::Duration confirmationAge {};
    uint64_t viewHash = 0;
    size_t memberCount = 0;
    // In a request, the hash of each part of the view; empty if the views were equal in the last exchange.
    std::vector<uint32_t> partHashes;
    // In a request, the position after which the page of members starts; in a response, the position of its end.
    uint64_t pageCursor = 0;
};

} // namespace Lavenderloft::Membership
