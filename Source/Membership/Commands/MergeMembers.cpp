#include "Membership/Commands/MergeMembers.h"

#include "Membership/Events.h"
#include "Observability/Log.h"

#include <tuple>

namespace Lavenderloft::Membership::Commands {

namespace {

    auto precedence(const Member& member)
    {
        return std::make_tuple(member.incarnation, member.version, member.sharedVersion, static_cast<int>(member.status));
    }

    auto sharedPrecedence(const Member& member)
    {
        return std::make_tuple(member.incarnation, member.sharedVersion, static_cast<int>(member.status));
    }

    // Whether a report about this process is at least as recent as its own record.
    bool isCurrent(const Member& report, const Member& self)
    {
        return report.hasDetail ? report.version >= self.version : report.sharedVersion >= self.sharedVersion;
    }

    // Status is part of the shared record, so both versions are incremented.
    void incrementVersions(Member& self, const Member& report)
    {
        self.version = std::max(self.version, report.version) + 1;
        self.sharedVersion = std::max(self.sharedVersion, report.sharedVersion) + 1;
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
    if (report.dataCentre != m_table.dataCentre())
        return mergeShared(report.sharedPart(), now);
    if (!report.hasDetail)
        return mergeShared(report, now);
    m_table.entries().withShard(report.vm, [&](auto& entries) {
        auto found = entries.find(report.vm);
        if (found == entries.end())
            return add(entries, report, now);
        auto& entry = found->second;
        if (precedence(report) < precedence(entry.member))
            return;
        if (precedence(report) == precedence(entry.member)) {
            entry.member.load = report.load;
            entry.member.revision = std::max(entry.member.revision, report.revision);
            return;
        }
        replace(entry, report, now);
    });
}

void MergeMembers::mergeShared(const Member& report, Base::TimePoint now)
{
    m_table.entries().withShard(report.vm, [&](auto& entries) {
        auto found = entries.find(report.vm);
        if (found == entries.end())
            return add(entries, report, now);
        auto& entry = found->second;
        if (sharedPrecedence(report) <= sharedPrecedence(entry.member))
            return;
        bool hasDetail = entry.member.hasDetail && report.incarnation == entry.member.incarnation;
        if (!hasDetail)
            return replace(entry, report, now);
        // A shared record must not overwrite the complete record of a member of the local data centre; its next
        // complete record updates the shared part. A greater status is adopted, so that a suspicion reaches the
        // member and is refuted.
        if (report.status <= entry.member.status)
            return;
        auto member = entry.member;
        member.status = report.status;
        replace(entry, member, now);
    });
}

void MergeMembers::add(MemberTable::Entries::Entries& entries, const Member& report, Base::TimePoint now)
{
    // Unknown members that are already dead are not added.
    if (report.status == Status::Dead)
        return;
    entries.emplace(report.vm, MemberTable::Entry { report, now, now });
    m_table.recordChange({}, MemberTable::hashesOf(report));
    logTransition(report, report, true);
}

void MergeMembers::replace(MemberTable::Entry& entry, const Member& report, Base::TimePoint now)
{
    auto before = MemberTable::hashesOf(entry.member);
    logTransition(entry.member, report, false);
    if (entry.member.status != report.status || entry.member.incarnation != report.incarnation)
        entry.statusSince = now;
    if (sharedPrecedence(entry.member) != sharedPrecedence(report))
        entry.sharedTransmitCount = 0;
    entry.member = report;
    entry.changedAt = now;
    entry.transmitCount = 0;
    m_table.recordChange(before, MemberTable::hashesOf(report));
}

void MergeMembers::mergeSelf(const Member& report, Base::TimePoint now)
{
    m_table.entries().withShard(report.vm, [&](auto& entries) {
        auto found = entries.find(report.vm);
        if (found == entries.end())
            return;
        auto& entry = found->second;
        auto& self = entry.member;
        auto before = MemberTable::hashesOf(self);
        if (report.incarnation > self.incarnation && report.status != Status::Dead && self.status != Status::Leaving) {
            // Two live processes must not use the same VM name; the one with the higher incarnation keeps it.
            Observability::logEvent(superseded, { { "vm", self.vm }, { "incarnation", self.incarnation }, { "newer", report.incarnation } });
            self.status = Status::Leaving;
            incrementVersions(self, {});
            entry.statusSince = now;
        } else if (report.incarnation == self.incarnation && report.status == Status::Leaving && self.status == Status::Alive) {
            self.status = Status::Leaving;
            incrementVersions(self, report);
            entry.statusSince = now;
            Observability::logEvent(memberLeaving, { { "vm", self.vm } });
        } else if (report.incarnation == self.incarnation && isCurrent(report, self)
            && (report.status == Status::Suspect || report.status == Status::Dead)) {
            incrementVersions(self, report);
            Observability::logEvent(suspicionRefuted, { { "vm", self.vm }, { "version", self.version } });
        } else {
            return;
        }
        entry.transmitCount = 0;
        entry.sharedTransmitCount = 0;
        m_table.recordChange(before, MemberTable::hashesOf(self));
    });
}

} // namespace Lavenderloft::Membership::Commands
