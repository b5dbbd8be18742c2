#pragma once

#include "Dispatch/DispatchState.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// Targets of a service for one request.
struct CandidateSet {
    // Those with a free place.
    std::vector<Candidate> free;
    // Those that may be used, full ones included.
    size_t usable = 0;
    size_t places = 0;
    // Some weights may not be used, so that engines are to be told which they are expected to hold.
    bool checkWeights = false;
};

// Sorts out the targets that may take the request now. The service's state is locked by the caller.
CandidateSet findCandidates(DispatchState&, const ServiceState&, const RequestTraits&, Base::TimePoint now);

// The oldest version of the model that may still be used; zero if every version may.
uint64_t oldestUsableWeights(const Fleet::FleetSnapshot&, const std::string& model, std::chrono::milliseconds bound, Base::TimePoint now);

// This router's part of a cold target's rate, in requests a second. Zero while the other routers are not known,
// and where they are so many that one request of each at a time would be too much.
double coldShare(const DispatchState&, const Fleet::Service&);

} // namespace Lavenderloft::Dispatch::Queries
