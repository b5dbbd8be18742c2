#pragma once

#include "Admission/PermitTable.h"

#include <set>
#include <string>

namespace Lavenderloft::Admission::Queries {

// Adapters of running requests and of unused permits.
std::set<std::string> adaptersInUse(const PermitTable&);

} // namespace Lavenderloft::Admission::Queries
