#pragma once

#include "Standin/VmListState.h"

namespace Lavenderloft::Standin::Queries {

// The newest version that is at least as old as the lag. The first version is visible at once.
std::vector<VmEntry> visibleVms(const VmListState&, Base::TimePoint now);

bool isVmListDown(const VmListState&);

} // namespace Lavenderloft::Standin::Queries
