#pragma once

#include "Staging/EngineProtocol.h"
#include "Staging/LoadState.h"

#include <optional>

namespace Lavenderloft::Staging::Commands {

// Records that a load request is about to be sent. A repeated request for the same weights keeps what is known of the
// attempts before it.
void recordLoadRequest(LoadState&, PendingLoad);

// Records the response to the last attempt, or that there was none. `isVerificationValid` tells whether the pieces were
// whole so recently that the engine must have accepted whole ones.
void recordLoadResponse(LoadState&, const std::optional<LoadResponse>&, bool isVerificationValid);

// Records the verification of the pieces after the engine accepted the pending request. `provesLoad` tells whether they
// were whole, and not stored again since the engine may have accepted it.
void recordLoadVerification(LoadState&, bool provesLoad);

} // namespace Lavenderloft::Staging::Commands
