#include "Membership/Queries/SummarizeFleet.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Membership::Queries {

namespace {

    // An older confirmation by the configuration service makes the summary list the view as partial.
    constexpr std::chrono::seconds staleConfirmationAge { 30 };

    void addMember(DataCentreSummary& summary, const Member& member)
    {
        ++(member.role == Role::Router ? summary.routers : summary.agents);
        if (member.status == Status::Leaving)
            ++summary.leaving;
        if (member.status == Status::Suspect)
            ++summary.suspect;
        if (!member.hasDetail)
            return;
        bool first = summary.routers + summary.agents == 1;
        summary.leastRevision = first ? member.revision : std::min(summary.leastRevision, member.revision);
        summary.greatestRevision = std::max(summary.greatestRevision, member.revision);
    }

    void addReplica(PoolSummary& summary, const Member& member, const Replica& replica)
    {
        if (member.status == Status::Leaving)
            ++summary.leaving;
        // A replica serves its loaded weights while it fetches new ones.
        if (!replica.servingDigest.empty())
            ++summary.readyByDigest[replica.servingDigest];
        if (!member.hasDetail)
            return;
        switch (replica.phase) {
        case ReplicaPhase::Idle:
            break;
        case ReplicaPhase::Fetching:
            ++summary.fetching;
            break;
        case ReplicaPhase::Waiting:
            ++summary.waiting;
            break;
        case ReplicaPhase::Loading:
            ++summary.loading;
            break;
        case ReplicaPhase::Ready:
            ++summary.ready;
            break;
        case ReplicaPhase::Failed:
            ++summary.failed;
            break;
        }
        if (replica.phase != ReplicaPhase::Ready && !replica.reason.empty())
            summary.late.push_back(member.vm + ": " + replica.reason);
    }

    std::string describe(const PoolReport& report)
    {
        return "pool \"" + report.pool + "\" in data centre " + report.dataCentre;
    }

    void addReport(FleetSummary& summary, const PoolReport& report, uint64_t revision)
    {
        auto& pool = summary.pools[report.pool];
        pool.ready += report.ready;
        pool.loading += report.loading;
        pool.fetching += report.fetching;
        if (report.late)
            pool.late.push_back("data centre " + report.dataCentre + ": " + std::to_string(report.late) + " replicas");
        auto& dataCentre = summary.dataCentres[report.dataCentre];
        dataCentre.leastRevision = dataCentre.leastRevision ? std::min(dataCentre.leastRevision, report.oldestRevision) : report.oldestRevision;
        dataCentre.greatestRevision = dataCentre.leastRevision;
        if (report.age > staleReportAge)
            summary.partial.push_back("the report of " + describe(report) + " is " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(report.age).count()) + " s old");
        else if (report.oldestRevision < revision)
            summary.partial.push_back(describe(report) + " has members with revision " + std::to_string(report.oldestRevision) + " in force");
    }

    // Lists data centres with known agents from which no pool report was received.
    void addMissingReports(FleetSummary& summary, const FleetStatus& status)
    {
        std::set<std::string> missing;
        for (auto& member : status.members) {
            if (!member.hasDetail && !member.replicas.empty())
                missing.insert(member.dataCentre);
        }
        for (auto& report : status.poolReports)
            missing.erase(report.dataCentre);
        for (auto& dataCentre : missing)
            summary.partial.push_back("no pool report received from data centre " + dataCentre);
    }

} // namespace

FleetSummary summarizeFleet(const FleetStatus& status)
{
    FleetSummary summary;
    for (auto& member : status.members) {
        addMember(summary.dataCentres[member.dataCentre], member);
        for (auto& replica : member.replicas)
            addReplica(summary.pools[replica.pool], member, replica);
        if (!member.refusedDocument.empty())
            summary.refusals.push_back(member.vm + ": " + member.refusedDocument);
        if (member.status == Status::Suspect)
            summary.partial.push_back(member.vm + " does not respond to probes");
        if (member.hasDetail && member.revision < status.revision)
            summary.partial.push_back(member.vm + " has revision " + std::to_string(member.revision) + " in force");
    }
    summary.reports = status.poolReports;
    for (auto& report : status.poolReports)
        addReport(summary, report, status.revision);
    addMissingReports(summary, status);
    if (status.confirmationAge > staleConfirmationAge)
        summary.partial.push_back("the configuration service has not confirmed the document for " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(status.confirmationAge).count()) + " s");
    return summary;
}

} // namespace Lavenderloft::Membership::Queries
