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

// What two processes tell each other in one exchange, in either direction.
struct GossipMessage {
    std::string fromVm;
    // Data centre of the sender. Messages between data centres carry only the shared parts of members, and
    // their hash of the view is the one over the shared parts.
    std::string fromDataCentre;
    // Whether the members and the hash of the view are reduced to the shared parts.
    bool isShared = false;
    // Revision and digest of the document in force; zero and empty without one.
    uint64_t revision = 0;
    std::string documentDigest;
    // The sender's own record first, then updates.
    std::vector<Member> members;
    std::vector<CrashEvidence> crashEvidence;
    // Pools of the sender's data centre; only in messages between data centres.
    std::vector<PoolReport> poolReports;
    // Age of the newest confirmation of the document by the configuration service.
    Base::Duration confirmationAge {};
    uint64_t viewHash = 0;
    size_t memberCount = 0;
    // In a request, hashes of the parts of the view if the views differed lately, else empty.
    std::vector<uint32_t> partHashes;
    // In a request, the position after which the sender wants members; in a response, the position reached.
    uint64_t pageCursor = 0;
};

} // namespace Lavenderloft::Membership
