#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Dispatch/RequestTraits.h"
#include "Fleet/FleetSnapshot.h"

#include <memory>
#include <vector>

namespace Lavenderloft::Dispatch {

// A target to which a request may go now.
struct Candidate {
    std::shared_ptr<const Fleet::KnownTarget> target;
    // Requests there by all routers, as far as known.
    unsigned occupancy = 0;
    // Requests that the target runs at once.
    unsigned slots = 1;
    bool sameDataCentre = false;
    bool sameRegion = false;
    double failureShare = 0;
    // The engine is about to cut off its requests to load new weights.
    bool cutsSoon = false;
    // Version of the weights that the engine is known to hold; zero for a plain target.
    uint64_t weights = 0;
};

// Chooses among targets with a free place.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // Index of the chosen candidate; the list is not empty.
    virtual size_t choose(const std::vector<Candidate>&, const RequestTraits&, Base::RandomSource&) const = 0;
};

} // namespace Lavenderloft::Dispatch
