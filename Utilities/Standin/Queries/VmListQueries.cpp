#include "Standin/Queries/VmListQueries.h"

namespace Lavenderloft::Standin::Queries {

std::vector<VmEntry> visibleVms(const VmListState& state, Base::TimePoint now)
{
    std::lock_guard guard(state.lock);
    if (state.versions.empty())
        return {};
    for (auto version = state.versions.rbegin(); version != state.versions.rend(); ++version) {
        if (version->since + state.lag <= now)
            return version->entries;
    }
    return state.versions.front().entries;
}

bool isVmListDown(const VmListState& state)
{
    std::lock_guard guard(state.lock);
    return state.down;
}

} // namespace Lavenderloft::Standin::Queries
