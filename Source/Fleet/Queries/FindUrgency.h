#pragma once

#include "Fleet/Configuration.h"

#include <vector>

namespace Lavenderloft::Fleet::Queries {

// All urgencies that requests can have under the configuration, the most urgent one first.
std::vector<Urgency> listUrgencies(const Configuration&);

// Rank of a request's urgency among those of the configuration; 0 is the most urgent. The organisation is null if the request
// has none.
int findUrgency(const Configuration&, const Route&, const Organisation*);

} // namespace Lavenderloft::Fleet::Queries
