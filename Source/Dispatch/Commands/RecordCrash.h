#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Notes that the connection of a run broke; the target may have crashed.
void recordBrokenRun(DispatchState&, uint64_t fingerprint, const std::string& service, const std::string& target, Base::TimePoint now);

// Finds out which targets of broken runs have ended, forgets old runs, and returns the crashes that were confirmed
// lately, for the other routers.
std::vector<CrashReport> confirmCrashes(DispatchState&, Base::TimePoint now);

// Notes crashes that another router confirmed.
void mergeCrashReports(DispatchState&, const std::vector<CrashReport>&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
