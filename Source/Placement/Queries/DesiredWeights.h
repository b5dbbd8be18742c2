#pragma once

#include "DesiredState/Document.h"
#include "Placement/Queries/SwitchAllowed.h"
#include "Placement/ReplicaRecord.h"
#include "Weights/WeightProvider.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// The weights that the VM is to serve. A VM that takes on no work, because it is drained or its data
// centre is out, keeps what it has, so that it returns quickly.
std::optional<DesiredReplica> desiredReplica(const PlacementView&, const std::string& vm, const ReplicaRecord&);

// The manifests to fetch for a replica, adapters included.
std::vector<Weights::WantedManifest> wantedManifests(const DesiredState::Document&, const DesiredReplica&);

} // namespace Lavenderloft::Placement::Queries
