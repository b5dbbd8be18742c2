#include "Membership/Commands/ChangeStatus.h"

#include "Membership/Events.h"
#include "Observability/Log.h"

#include <vector>

namespace Lavenderloft::Membership::Commands {

void ChangeStatus::recordFailedProbe(const std::string& vm, Base::TimePoint now)
{
    transition(vm, Status::Alive, Status::Suspect, now);
    // A leaving member that does not respond has stopped.
    transition(vm, Status::Leaving, Status::Dead, now);
}

void ChangeStatus::recordLeaving(const std::string& vm, Base::TimePoint now)
{
    transition(vm, Status::Alive, Status::Leaving, now);
    transition(vm, Status::Suspect, Status::Leaving, now);
}

void ChangeStatus::expire(Base::TimePoint now)
{
    std::vector<std::string> expired;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        if (entry.member.status == Status::Suspect && now - entry.statusSince >= suspicionTimeout)
            expired.push_back(vm);
    });
    for (auto& vm : expired)
        transition(vm, Status::Suspect, Status::Dead, now);
    m_table.entries().eraseIf([&](const std::string&, const MemberTable::Entry& entry) {
        if (entry.member.status != Status::Dead || now - entry.statusSince < tombstoneRetention)
            return false;
        m_table.recordChange(MemberTable::hashesOf(entry.member), {});
        return true;
    });
}

void ChangeStatus::transition(const std::string& vm, Status from, Status to, Base::TimePoint now)
{
    if (vm == m_table.selfVm())
        return;
    m_table.entries().withShard(vm, [&](auto& entries) {
        auto found = entries.find(vm);
        if (found == entries.end() || found->second.member.status != from)
            return;
        auto& entry = found->second;
        auto before = MemberTable::hashesOf(entry.member);
        entry.member.status = to;
        entry.statusSince = now;
        entry.changedAt = now;
        entry.transmitCount = 0;
        entry.sharedTransmitCount = 0;
        m_table.recordChange(before, MemberTable::hashesOf(entry.member));
        Observability::logEvent(to == Status::Suspect ? memberSuspected : to == Status::Dead ? memberDied
                                                                                             : memberLeaving,
            { { "vm", vm } });
    });
}

} // namespace Lavenderloft::Membership::Commands
