#include "Staging/Queries/ClassifyResponse.h"

namespace Lavenderloft::Staging::Queries {

SourceOutcome classifyResponse(const Base::Result<Http::HttpResponse, Http::HttpError>& result, const PieceChecklist& checklist, unsigned piece)
{
    if (!Base::succeeded(result))
        return SourceOutcome::Unreachable;
    auto& response = Base::valueOf(result);
    if (response.status == notAvailableStatus)
        return SourceOutcome::NotAvailable;
    if (response.status != 200)
        return SourceOutcome::Busy;
    return checklist.matches(piece, response.body) ? SourceOutcome::Delivered : SourceOutcome::Corrupt;
}

} // namespace Lavenderloft::Staging::Queries
