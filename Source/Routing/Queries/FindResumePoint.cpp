#include "Routing/Queries/FindResumePoint.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    // Only a success is a stream of tokens.
    constexpr unsigned successStatus = 200;

} // namespace

std::optional<uint64_t> findResumePoint(const LiveRequest& request, const ResponseHead& head, const StreamPosition& position)
{
    if (request.kind != DesiredState::RouteKind::ToPool || head.status != successStatus || position.isPartialLineTooLong)
        return std::nullopt;
    return position.tokens;
}

bool hasRepeatedAll(const StreamPosition& position)
{
    return !position.bytesToRepeat;
}

} // namespace Lavenderloft::Routing::Queries
