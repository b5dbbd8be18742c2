#pragma once

#include "Base/Result.h"
#include "Standin/VmListState.h"

namespace Lavenderloft::Standin::Commands {

enum class VmListErrorKind {
    UnknownVm,
};

using VmListError = Base::Error<VmListErrorKind>;

// Replaces the list; readers see it after the lag.
void replaceVms(VmListState&, std::vector<VmEntry>, Base::TimePoint now);

// Changes the state of one VM in a new version of the list.
Base::Result<Base::Done, VmListError> setVmState(VmListState&, const std::string& name, const std::string& state, Base::TimePoint now);

void setVmListLag(VmListState&, std::chrono::milliseconds);
void setVmListDown(VmListState&, bool down);

} // namespace Lavenderloft::Standin::Commands
