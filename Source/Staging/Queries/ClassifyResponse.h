#pragma once

#include "Http/HttpClient.h"
#include "Staging/PieceChecklist.h"
#include "Staging/PieceSources.h"

namespace Lavenderloft::Staging::Queries {

// Status of the response of an agent that does not have the requested piece or manifest.
inline constexpr unsigned notAvailableStatus = 404;

// Classifies a source's response to the request of a piece.
SourceOutcome classifyResponse(const Base::Result<Http::HttpResponse, Http::HttpError>&, const PieceChecklist&, unsigned piece);

} // namespace Lavenderloft::Staging::Queries
