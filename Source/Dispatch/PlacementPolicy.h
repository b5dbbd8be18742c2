#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Dispatch/RequestTraits.h"
#include "Dispatch/TargetRuntime.h"
#include "Fleet/FleetSnapshot.h"
#include "Scheduling/EngineModel.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// A target with free capacity for a request.
struct Candidate {
    std::shared_ptr<const Fleet::KnownTarget> target;
    // Requests in flight from all routers, as far as known.
    unsigned occupancy = 0;
    // Concurrency limit of the target.
    unsigned capacity = 1;
    bool sameDataCentre = false;
    bool sameRegion = false;
    // Moving average of failed attempts, 0 to 1.
    double failureShare = 0;
    // The engine is about to abort its requests to load new weights.
    bool abortsSoon = false;
    // Version of the weights that the engine holds; zero for a plain target.
    uint64_t weights = 0;
    // Until when a request may begin on these weights.
    std::optional<Base::TimePoint> weightsDeadline {};
    // What this router knows of the target, null if nothing. Valid while the service's lock is held.
    const TargetRuntime* runtime = nullptr;
};

// What a placement depends on besides the candidates.
struct PlacementContext {
    const RequestTraits& traits;
    // Null if the service has none.
    const Scheduling::EngineModel* model = nullptr;
    // Recent ratio of observed to predicted times of the service's targets.
    double modelBias = 1;
    // The last request that could stay in this data centre went to another one.
    bool isSpilling = false;
    // This router's.
    const std::string& dataCentre;
    // Of this router's link; zero if unknown.
    double linkBitsPerSecond = 0;
    Base::TimePoint now {};
};

struct Placement {
    // Of the chosen candidate.
    size_t index = 0;
    // Set if the policy predicts.
    std::optional<PredictedPlacement> predicted {};
    // Whether the request goes to another data centre although it could stay; nothing if there was no choice.
    std::optional<bool> spills {};
};

// Chooses among targets with free capacity.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    // The list must not be empty.
    virtual Placement choose(const std::vector<Candidate>&, const PlacementContext&, Base::RandomSource&) const = 0;
};

} // namespace Lavenderloft::Dispatch
