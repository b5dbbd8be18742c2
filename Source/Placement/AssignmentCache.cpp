#include "Placement/AssignmentCache.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Placement {

namespace {

    // Independent of the order of the members.
    uint64_t hashMembers(const std::vector<Membership::Member>& members)
    {
        uint64_t sum = 0;
        for (auto& member : members) {
            auto state = static_cast<uint64_t>(member.role) * 16 + static_cast<uint64_t>(member.status);
            sum += Base::stableHash(member.vm, Base::stableHash(member.dataCentre, state));
        }
        return sum;
    }

} // namespace

const Queries::Assignment& AssignmentCache::assignment(const std::shared_ptr<const DesiredState::Document>& document, const std::vector<Membership::Member>& members)
{
    auto membersHash = hashMembers(members);
    if (m_document != document || m_membersHash != membersHash) {
        m_assignment = Queries::assignedPools(*document, members);
        m_document = document;
        m_membersHash = membersHash;
    }
    return m_assignment;
}

} // namespace Lavenderloft::Placement
