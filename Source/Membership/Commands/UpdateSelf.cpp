#include "Membership/Commands/UpdateSelf.h"

namespace Lavenderloft::Membership::Commands {

namespace {

    // Progress of a transfer is announced in steps of this share.
    constexpr unsigned progressSteps = 10;

    unsigned progressStep(const Replica& replica)
    {
        return replica.chunksTotal ? replica.chunksHeld * progressSteps / replica.chunksTotal : 0;
    }

    bool isWorthAnnouncing(const Replica& before, const Replica& after)
    {
        return before.pool != after.pool || before.servingDigest != after.servingDigest || before.wantedDigest != after.wantedDigest
            || before.phase != after.phase || before.reason != after.reason || before.adapters != after.adapters || progressStep(before) != progressStep(after);
    }

    bool isSharedPartChanged(const Member& before, const Member& after)
    {
        return before.sharedPart() != after.sharedPart();
    }

    bool isWorthAnnouncing(const Member& before, const Member& after)
    {
        if (isSharedPartChanged(before, after))
            return true;
        if (before.refusedDocument != after.refusedDocument)
            return true;
        if (before.load.accepting != after.load.accepting || before.load.limit != after.load.limit)
            return true;
        if (before.replicas.size() != after.replicas.size())
            return true;
        for (size_t i = 0; i < before.replicas.size(); ++i) {
            if (isWorthAnnouncing(before.replicas[i], after.replicas[i]))
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
        found->second.timesSent = 0;
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
        if (!isWorthAnnouncing(before, entry.member))
            return;
        if (before.status != entry.member.status)
            entry.statusSince = now;
        if (isSharedPartChanged(before, entry.member)) {
            ++entry.member.sharedVersion;
            entry.timesSentAcross = 0;
        }
        ++entry.member.version;
        entry.timesSent = 0;
        m_table.recordChange(MemberTable::hashesOf(before), MemberTable::hashesOf(entry.member));
    });
}

} // namespace Lavenderloft::Membership::Commands
