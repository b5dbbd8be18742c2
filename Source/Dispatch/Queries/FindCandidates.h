#pragma once

#include "Dispatch/DispatchState.h"

#include <memory>
#include <optional>
#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// Targets of a service for one request.
struct CandidateSet {
    // Those with free capacity.
    std::vector<Candidate> free;
    // Number of eligible targets, including full ones.
    size_t eligible = 0;
    // Number of targets that are not eligible now and may be later.
    size_t returning = 0;
    // Sum of the concurrency limits of the eligible targets.
    size_t capacity = 0;
    // The earliest time at which a target takes requests that now holds this router back.
    std::optional<Base::TimePoint> heldBackUntil;
    // Some versions of the weights may not be used, so requests must name the expected one.
    bool checkWeights = false;
    // Of the service's engines; null if the configuration has none.
    std::shared_ptr<const Scheduling::EngineModel> model {};
};

// Finds the targets that can take the request. The caller holds the service's lock.
CandidateSet findCandidates(DispatchState&, const ServiceState&, const RequestTraits&, Base::TimePoint now);

// The oldest version of the model's weights that may still be used; zero if there is no limit.
uint64_t minimumWeightsVersion(const Fleet::FleetSnapshot&, const std::string& model, std::chrono::milliseconds bound, Base::TimePoint now);

// Until when requests may begin on a version of the model's weights: the deadline of the first version declared after it.
// Nothing if no later one is declared.
std::optional<Base::TimePoint> weightsDeadline(const Fleet::FleetSnapshot&, const std::string& model, uint64_t version, std::chrono::milliseconds bound);

// This router's share of the rate of a cold target, in requests per second. Zero while the other routers are unknown, or
// if there are so many that one request from each would exceed the rate.
double coldRateShare(const DispatchState&, const Fleet::Service&);

} // namespace Lavenderloft::Dispatch::Queries
