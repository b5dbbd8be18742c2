#pragma once

#include "DesiredState/Document.h"
#include "Placement/Queries/SwitchPolicy.h"
#include "Placement/ReplicaRecord.h"
#include "Weights/WeightProvider.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// The weights that the VM must serve. A VM that is drained or whose data centre is out keeps its pool, so
// that it can return to service quickly.
std::optional<DesiredReplica> desiredReplica(const PlacementView&, const std::string& vm, const ReplicaRecord&);

// The manifests to fetch for a replica, including its adapters.
std::vector<Weights::WantedManifest> wantedManifests(const DesiredState::Document&, const DesiredReplica&);

} // namespace Lavenderloft::Placement::Queries
