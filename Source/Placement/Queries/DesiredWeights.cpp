#include "Placement/Queries/DesiredWeights.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    bool keepsCurrentPool(const DesiredState::Document& document, const std::vector<Membership::Member>& members, const std::string& vm)
    {
        if (document.isDrained(vm))
            return true;
        auto self = std::find_if(members.begin(), members.end(), [&](auto& member) { return member.vm == vm; });
        return self != members.end() && document.isDataCentreOut(self->dataCentre);
    }

} // namespace

std::optional<DesiredReplica> desiredReplica(const PlacementView& view, const std::string& vm, const ReplicaRecord& record)
{
    auto& document = view.document;
    if (keepsCurrentPool(document, view.members, vm) && record.state.phase() != Membership::ReplicaPhase::Idle) {
        auto* pool = document.findPool(record.wanted.pool);
        return pool ? std::optional(DesiredReplica { pool->name, pool->manifest }) : std::nullopt;
    }
    auto assigned = view.assignment.find(vm);
    if (assigned == view.assignment.end())
        return std::nullopt;
    return DesiredReplica { assigned->second, document.findPool(assigned->second)->manifest };
}

std::vector<Weights::WantedManifest> wantedManifests(const DesiredState::Document& document, const DesiredReplica& replica)
{
    auto* pool = document.findPool(replica.pool);
    unsigned priority = pool ? pool->priority : 100;
    std::vector<Weights::WantedManifest> wanted { { replica.manifest, priority } };
    if (pool) {
        for (auto& adapter : pool->adapters)
            wanted.push_back({ adapter, priority });
    }
    return wanted;
}

} // namespace Lavenderloft::Placement::Queries
