#pragma once

#include "Base/Result.h"
#include "Standin/VmListState.h"

namespace Lavenderloft::Standin::Commands {

enum class VmListErrorKind {
    UnknownVm,
};

using VmListError = Base::Error<VmListErrorKind>;

// Replaces the list; the change is visible to readers after the lag.
void replaceVms(VmListState&, std::vector<VmEntry>, Base::TimePoint now);

// Adds a version of the list in which the state of one VM is changed.
Base::Result<Base::Done, VmListError> setVmState(VmListState&, const std::string& name, const std::string& state, Base::TimePoint now);

void setVmListLag(VmListState&, std::chrono::milliseconds);
void setVmListDown(VmListState&, bool down);

} // namespace Lavenderloft::Standin::Commands
