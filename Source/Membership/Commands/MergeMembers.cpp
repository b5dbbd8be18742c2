#include "Membership/Commands/MergeMembers.h"

#include "Membership/Events.h"
#include "Observability/Log.h"

#include <tuple>

namespace Lavenderloft::Membership::Commands {

namespace {

    auto precedence(const Member& member)
    {
        return std::make_tuple(member.incarnation, member.version, static_cast<int>(member.status));
    }

    void logTransition(const Member& before, const Member& after, bool isNew)
    {
        if (isNew || after.incarnation != before.incarnation) {
            Observability::logEvent(memberJoined, { { "vm", after.vm }, { "incarnation", after.incarnation }, { "data_centre", after.dataCentre } });
            return;
        }
        if (after.status == before.status)
            return;
        if (after.status == Status::Suspect)
            Observability::logEvent(memberSuspected, { { "vm", after.vm } });
        if (after.status == Status::Dead)
            Observability::logEvent(memberDied, { { "vm", after.vm } });
        if (after.status == Status::Leaving)
            Observability::logEvent(memberLeaving, { { "vm", after.vm } });
    }

} // namespace

void MergeMembers::execute(const std::vector<Member>& reports, Base::TimePoint now)
{
    for (auto& report : reports) {
        if (report.vm == m_table.selfVm())
            mergeSelf(report, now);
        else
            mergeOther(report, now);
    }
}

void MergeMembers::mergeOther(const Member& report, Base::TimePoint now)
{
    m_table.entries().withShard(report.vm, [&](auto& entries) {
        auto found = entries.find(report.vm);
        if (found == entries.end()) {
            // A member that is unknown here and dead elsewhere need not be learnt.
            if (report.status == Status::Dead)
                return;
            entries.emplace(report.vm, MemberTable::Entry { report, now });
            m_table.recordChange(0, MemberTable::hashOf(report));
            logTransition(report, report, true);
            return;
        }
        auto& entry = found->second;
        if (precedence(report) < precedence(entry.member))
            return;
        if (precedence(report) == precedence(entry.member)) {
            entry.member.load = report.load;
            entry.member.revision = std::max(entry.member.revision, report.revision);
            return;
        }
        auto oldHash = MemberTable::hashOf(entry.member);
        logTransition(entry.member, report, false);
        if (entry.member.status != report.status || entry.member.incarnation != report.incarnation)
            entry.statusSince = now;
        entry.member = report;
        entry.timesSent = 0;
        m_table.recordChange(oldHash, MemberTable::hashOf(report));
    });
}

void MergeMembers::mergeSelf(const Member& report, Base::TimePoint now)
{
    m_table.entries().withShard(report.vm, [&](auto& entries) {
        auto found = entries.find(report.vm);
        if (found == entries.end())
            return;
        auto& entry = found->second;
        auto& self = entry.member;
        auto oldHash = MemberTable::hashOf(self);
        if (report.incarnation > self.incarnation && report.status != Status::Dead && self.status != Status::Leaving) {
            // Two live processes must not act under one name; the newer one keeps it.
            Observability::logEvent(superseded, { { "vm", self.vm }, { "incarnation", self.incarnation }, { "newer", report.incarnation } });
            self.status = Status::Leaving;
            ++self.version;
            entry.statusSince = now;
        } else if (report.incarnation == self.incarnation && report.status == Status::Leaving && self.status == Status::Alive) {
            self.status = Status::Leaving;
            self.version = std::max(self.version, report.version) + 1;
            entry.statusSince = now;
            Observability::logEvent(memberLeaving, { { "vm", self.vm } });
        } else if (report.incarnation == self.incarnation && report.version >= self.version
            && (report.status == Status::Suspect || report.status == Status::Dead)) {
            self.version = report.version + 1;
            Observability::logEvent(suspicionRefuted, { { "vm", self.vm }, { "version", self.version } });
        } else {
            return;
        }
        entry.timesSent = 0;
        m_table.recordChange(oldHash, MemberTable::hashOf(self));
    });
}

} // namespace Lavenderloft::Membership::Commands
