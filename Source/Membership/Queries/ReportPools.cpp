#include "Membership/Queries/ReportPools.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Lavenderloft::Membership::Queries {

namespace {

    void count(PoolReport& report, const Replica& replica)
    {
        ++report.wanted;
        report.ready += replica.phase == ReplicaPhase::Ready;
        report.loading += replica.phase == ReplicaPhase::Loading;
        report.fetching += replica.phase == ReplicaPhase::Fetching;
        report.late += replica.phase != ReplicaPhase::Ready && !replica.reason.empty();
    }

} // namespace

std::vector<PoolReport> reportPools(const MemberTable& table, size_t offset)
{
    std::map<std::string, PoolReport> pools;
    std::optional<uint64_t> oldestRevision;
    table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
        auto& member = entry.member;
        if (!member.hasDetail || member.status == Status::Dead)
            return;
        oldestRevision = std::min(oldestRevision.value_or(member.revision), member.revision);
        for (auto& replica : member.replicas)
            count(pools[replica.pool], replica);
    });
    std::vector<PoolReport> reports;
    auto next = pools.begin();
    if (!pools.empty())
        std::advance(next, static_cast<long>(offset % pools.size()));
    for (size_t i = 0; i < std::min(pools.size(), maximumReportsPerMessage); ++i) {
        auto& [name, report] = *next;
        report.pool = name;
        report.dataCentre = table.dataCentre();
        report.oldestRevision = oldestRevision.value_or(0);
        reports.push_back(report);
        if (++next == pools.end())
            next = pools.begin();
    }
    return reports;
}

} // namespace Lavenderloft::Membership::Queries
