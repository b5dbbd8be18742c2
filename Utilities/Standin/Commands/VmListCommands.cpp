#include "Standin/Commands/VmListCommands.h"

#include <algorithm>

namespace Lavenderloft::Standin::Commands {

void replaceVms(VmListState& state, std::vector<VmEntry> entries, Base::TimePoint now)
{
    std::lock_guard guard(state.lock);
    state.versions.push_back({ now, std::move(entries) });
}

Base::Result<Base::Done, VmListError> setVmState(VmListState& state, const std::string& name, const std::string& vmState, Base::TimePoint now)
{
    std::lock_guard guard(state.lock);
    auto entries = state.versions.empty() ? std::vector<VmEntry> {} : state.versions.back().entries;
    auto entry = std::find_if(entries.begin(), entries.end(), [&](auto& candidate) { return candidate.name == name; });
    if (entry == entries.end())
        return VmListError { VmListErrorKind::UnknownVm, "no VM is named \"" + name + "\"", "add it to the list first" };
    entry->state = vmState;
    state.versions.push_back({ now, std::move(entries) });
    return Base::Done {};
}

void setVmListLag(VmListState& state, std::chrono::milliseconds lag)
{
    std::lock_guard guard(state.lock);
    state.lag = lag;
}

void setVmListDown(VmListState& state, bool down)
{
    std::lock_guard guard(state.lock);
    state.down = down;
}

} // namespace Lavenderloft::Standin::Commands
