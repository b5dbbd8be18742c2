#include "Membership/MemberTable.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Membership {

size_t MemberTable::partOf(const std::string& vm)
{
    return Base::stableHash(vm) % partCount;
}

MemberTable::PartHashes MemberTable::truncate(const AtomicHashes& hashes)
{
    PartHashes reduced;
    for (auto& hash : hashes)
        reduced.push_back(static_cast<uint32_t>(hash.load()));
    return reduced;
}

MemberTable::Hashes MemberTable::hashesOf(const Member& member)
{
    auto identity = Base::stableHash(member.vm, member.incarnation);
    auto shared = Base::stableHash(std::to_string(member.sharedVersion) + ':' + std::to_string(static_cast<int>(member.status)), identity);
    return { Base::stableHash(std::to_string(member.version), shared), shared, partOf(member.vm) };
}

void MemberTable::recordChange(const Hashes& before, const Hashes& after)
{
    if (before.full == after.full)
        return;
    // XOR makes the hashes independent of the order of changes.
    m_viewHash.fetch_xor(before.full ^ after.full);
    m_sharedViewHash.fetch_xor(before.shared ^ after.shared);
    auto part = before.full ? before.part : after.part;
    m_partHashes[part].fetch_xor(before.full ^ after.full);
    m_sharedPartHashes[part].fetch_xor(before.shared ^ after.shared);
    ++m_changes;
}

} // namespace Lavenderloft::Membership
