#include "Membership/Queries/SummarizeFleet.h"

#include <algorithm>

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
        bool first = summary.routers + summary.agents == 1;
        summary.leastRevision = first ? member.revision : std::min(summary.leastRevision, member.revision);
        summary.greatestRevision = std::max(summary.greatestRevision, member.revision);
    }

    void addReplica(PoolSummary& summary, const Member& member, const Replica& replica)
    {
        if (member.status == Status::Leaving)
            ++summary.leaving;
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
        // Old weights serve while new ones are fetched.
        if (!replica.servingDigest.empty())
            ++summary.readyByDigest[replica.servingDigest];
        if (replica.phase != ReplicaPhase::Ready && !replica.reason.empty())
            summary.late.push_back(member.vm + ": " + replica.reason);
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
    if (status.confirmationAge > staleConfirmation)
        summary.partial.push_back("the configuration service has not confirmed the document for " + std::to_string(std::chrono::duration_cast<std::chrono::seconds>(status.confirmationAge).count()) + " s");
    return summary;
}

} // namespace Lavenderloft::Membership::Queries
