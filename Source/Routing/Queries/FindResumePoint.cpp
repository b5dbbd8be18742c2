#include "Routing/Queries/FindResumePoint.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    // Responses with any other status are not token streams.
    constexpr unsigned successStatus = 200;

} // namespace

std::optional<uint64_t> findResumePoint(const LiveRequest& request, const ResponseHead& head, const StreamPosition& position)
{
    if (request.kind != DesiredState::RouteKind::ToPool || head.status != successStatus || position.isPartialLineTooLong)
        return std::nullopt;
    return position.tokens;
}

bool isOverlapConsumed(const StreamPosition& position)
{
    return !position.overlapBytes;
}

} // namespace Lavenderloft::Routing::Queries
