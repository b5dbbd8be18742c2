#pragma once

#include "Dispatch/PlacementPolicy.h"

#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// Indexes of the candidates to choose from. For a resumed request these are the ones that do not abort their requests soon, if
// there are any, because it may have no attempts left.
std::vector<size_t> findLastingCandidates(const std::vector<Candidate>&, const RequestTraits&);

} // namespace Lavenderloft::Dispatch::Queries
