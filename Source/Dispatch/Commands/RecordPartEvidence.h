#pragma once

#include "Dispatch/DispatchState.h"

#include <vector>

namespace Lavenderloft::Dispatch::Commands {

// Records that a target crashed, as confirmed by this router, while a request with the parts, in the order of the prompt,
// ran there.
void recordPartCrash(DispatchState&, const std::vector<uint64_t>& parts, const std::string& target, Base::TimePoint brokeAt, Base::TimePoint now);

// Records a complete response to a request with the parts, which clears them of all earlier crashes.
void recordPartsServed(DispatchState&, const std::vector<PromptPart>&, Base::TimePoint now);

// Records that a request with the blocked part was refused, which renews the block.
void recordPartRefused(DispatchState&, uint64_t part, Base::TimePoint now);

// Records what another router reported.
void mergePartReports(DispatchState&, const PartReports&, Base::TimePoint now);

// Refuses the queued requests that have a blocked part.
void refuseBlockedWaiting(DispatchState&, Base::TimePoint now);

// Ends expired blocks and removes expired evidence.
void expirePartEvidence(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
