#pragma once

#include "Admission/PermitTable.h"

#include <set>
#include <string>

namespace Lavenderloft::Admission::Queries {

// Adapters of the requests that run or hold an unused permit.
std::set<std::string> adaptersInUse(const PermitTable&);

} // namespace Lavenderloft::Admission::Queries
