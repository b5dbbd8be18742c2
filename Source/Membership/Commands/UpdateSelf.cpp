#include "Membership/Commands/UpdateSelf.h"

namespace Lavenderloft::Membership::Commands {

namespace {

    // Transfer progress is announced in this number of steps, not for each chunk.
    constexpr unsigned progressStepCount = 10;

    unsigned progressStep(const Replica& replica)
    {
        return replica.chunksTotal ? replica.chunksHeld * progressStepCount / replica.chunksTotal : 0;
    }

    bool requiresAnnouncement(const Replica& before, const Replica& after)
    {
        return before.pool != after.pool || before.servingDigest != after.servingDigest || before.wantedDigest != after.wantedDigest
            || before.phase != after.phase || before.reason != after.reason || before.adapters != after.adapters || progressStep(before) != progressStep(after);
    }

    bool hasSharedPartChanged(const Member& before, const Member& after)
    {
        return before.sharedPart() != after.sharedPart();
    }

    bool requiresAnnouncement(const Member& before, const Member& after)
    {
        if (hasSharedPartChanged(before, after))
            return true;
        if (before.refusedDocument != after.refusedDocument)
            return true;
        if (before.load.accepting != after.load.accepting || before.load.limit != after.load.limit)
            return true;
        if (before.replicas.size() != after.replicas.size())
            return true;
        for (size_t i = 0; i < before.replicas.size(); ++i) {
            if (requiresAnnouncement(before.replicas[i], after.replicas[i]))
                return true;
        }
        return false;
    }

} // namespace

void UpdateSelf::insertSelf(const Member& self, Base::TimePoint now)
{
    m_table.entries().set(self.vm, { self, now });
    m_table.recordChange({}, MemberTable::hashesOf(self));
}

void UpdateSelf::announce()
{
    m_table.entries().withShard(m_table.selfVm(), [&](auto& entries) {
        auto found = entries.find(m_table.selfVm());
        if (found == entries.end())
            return;
        auto before = MemberTable::hashesOf(found->second.member);
        ++found->second.member.version;
        found->second.transmitCount = 0;
        m_table.recordChange(before, MemberTable::hashesOf(found->second.member));
    });
}

void UpdateSelf::execute(const std::function<void(Member&)>& change, Base::TimePoint now)
{
    m_table.entries().withShard(m_table.selfVm(), [&](auto& entries) {
        auto found = entries.find(m_table.selfVm());
        if (found == entries.end())
            return;
        auto& entry = found->second;
        auto before = entry.member;
        change(entry.member);
        if (!requiresAnnouncement(before, entry.member))
            return;
        if (before.status != entry.member.status)
            entry.statusSince = now;
        if (hasSharedPartChanged(before, entry.member)) {
            ++entry.member.sharedVersion;
            entry.sharedTransmitCount = 0;
        }
        ++entry.member.version;
        entry.transmitCount = 0;
        m_table.recordChange(MemberTable::hashesOf(before), MemberTable::hashesOf(entry.member));
    });
}

} // namespace Lavenderloft::Membership::Commands
