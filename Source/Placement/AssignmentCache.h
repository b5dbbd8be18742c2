#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Placement/Queries/AssignedPools.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace Lavenderloft::Placement {

// Caches the last assignment. It is recomputed only when the document or a relevant property of the members
// changes, because that takes about 20 ms for 6,700 members and 10 pools. Not thread-safe.
class AssignmentCache {
public:
    const Queries::Assignment& assignment(const std::shared_ptr<const DesiredState::Document>&, const std::vector<Membership::Member>&);

private:
    std::shared_ptr<const DesiredState::Document> m_document;
    uint64_t m_membersHash = 0;
    Queries::Assignment m_assignment;
};

} // namespace Lavenderloft::Placement
