#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Records that the connection of a run broke; the target may have crashed. The parts are those of a run that had
// produced no event.
void recordBrokenRun(DispatchState&, uint64_t fingerprint, const Fleet::TargetEntry&, Base::TimePoint now, std::vector<uint64_t> suspectParts = {});

// Records that a target has served the request: it did not cause the ends of the targets that it ran on before.
void recordRequestServed(DispatchState&, uint64_t fingerprint);

// Confirms the crashes of broken runs whose targets have ended, records them for their suspect parts, removes expired runs, and returns recently confirmed
// crashes for the other routers.
std::vector<CrashReport> confirmCrashes(DispatchState&, Base::TimePoint now);

// Records crashes that another router confirmed.
void mergeCrashReports(DispatchState&, const std::vector<CrashReport>&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
