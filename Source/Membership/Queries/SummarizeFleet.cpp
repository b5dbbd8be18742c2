#include "Membership/Queries/SummarizeFleet.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Membership::Queries {

namespace {

    // A confirmation by the configuration service that is older than this is named in the summary.
    constexpr std::chrono::seconds staleConfirmation { 30 };

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
        // Old weights serve while new ones are fetched.
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

    std::string nameOf(const PoolReport& report)
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
            summary.partial.push_back("the report of " + nameOf(report) + " is " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(report.age).count()) + " s old");
        else if (report.oldestRevision < revision)
            summary.partial.push_back(nameOf(report) + " has members with revision " + std::to_string(report.oldestRevision) + " in force");
    }

    // Names the data centres whose agents are known but whose relays have reported no pool.
    void noteSilentDataCentres(FleetSummary& summary, const FleetStatus& status)
    {
        std::set<std::string> silent;
        for (auto& member : status.members) {
            if (!member.hasDetail && !member.replicas.empty())
                silent.insert(member.dataCentre);
        }
        for (auto& report : status.poolReports)
            silent.erase(report.dataCentre);
        for (auto& dataCentre : silent)
            summary.partial.push_back("no report of data centre " + dataCentre + " has arrived");
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
            summary.partial.push_back(member.vm + " does not answer");
        if (member.hasDetail && member.revision < status.revision)
            summary.partial.push_back(member.vm + " has revision " + std::to_string(member.revision) + " in force");
    }
    summary.reports = status.poolReports;
    for (auto& report : status.poolReports)
        addReport(summary, report, status.revision);
    noteSilentDataCentres(summary, status);
    if (status.confirmationAge > staleConfirmation)
        summary.partial.push_back("the configuration service has not confirmed the document for " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(status.confirmationAge).count()) + " s");
    return summary;
}

} // namespace Lavenderloft::Membership::Queries
