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

// The pieces of the layers that the engine holds are whole, and this process has stored none of them: an earlier process
// had the engine load whole ones.
void recordInheritedPiecesWhole(LoadState&);

// The engine has loaded whole pieces for the pending request. Layers that it loaded before are as they were.
void settleAsLoaded(LoadState&);

// The engine may have loaded other pieces than those of the pending request, or others than the agent knows of.
void settleInDoubt(LoadState&);

// Nothing is known to have come of the pending request.
void abandonLoad(LoadState&);

} // namespace Lavenderloft::Staging::Commands
