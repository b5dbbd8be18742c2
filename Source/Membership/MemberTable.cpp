#include "Membership/MemberTable.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Membership {

uint64_t MemberTable::hashOf(const Member& member)
{
    auto identity = Base::stableHash(member.vm, member.incarnation);
    return Base::stableHash(std::to_string(member.version) + ':' + std::to_string(static_cast<int>(member.status)), identity);
}

void MemberTable::recordChange(uint64_t oldHash, uint64_t newHash)
{
    if (oldHash == newHash)
        return;
    // Exclusive or makes the hash independent of the order of changes.
    m_viewHash.fetch_xor(oldHash ^ newHash);
    ++m_changes;
}

} // namespace Lavenderloft::Membership
