#pragma once

#include "Dispatch/PlacementPolicy.h"

namespace Lavenderloft::Dispatch::Queries {

// Predicts the response to the request at a candidate. The context must have a model.
PredictedPlacement predictPlacement(const Candidate&, const PlacementContext&);

// Whether the target gets a request although it is believed to be slow, since otherwise nothing would show that it is not any
// more. An engine that itself says that it is slow needs no probe.
bool isProbeDue(const Candidate&, const PredictedPlacement&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
