#include "Membership/MemberTable.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Membership {

MemberTable::Hashes MemberTable::hashesOf(const Member& member)
{
    auto identity = Base::stableHash(member.vm, member.incarnation);
    auto shared = Base::stableHash(std::to_string(member.sharedVersion) + ':' + std::to_string(static_cast<int>(member.status)), identity);
    return { Base::stableHash(std::to_string(member.version), shared), shared };
}

void MemberTable::recordChange(const Hashes& before, const Hashes& after)
{
    if (before.full == after.full)
        return;
    // Exclusive or makes the hashes independent of the order of changes.
    m_viewHash.fetch_xor(before.full ^ after.full);
    m_sharedViewHash.fetch_xor(before.shared ^ after.shared);
    ++m_changes;
}

} // namespace Lavenderloft::Membership
