#include "Routing/Queries/SelectNextTarget.h"

namespace Lavenderloft::Routing::Queries {

Selection selectNextTarget(const TargetTable& table, const LiveRequest& request, const AttemptHistory& history, const ResponseProgress& response, const TargetPolicy& policy, Base::RandomSource& random, Base::TimePoint now)
{
    if (response.isStarted)
        return selectTarget(table, request, history.round.tried, policy, random, now, response.head.weightsDigest);
    auto selection = selectTarget(table, request, history.round.tried, policy, random, now);
    if (selection.target)
        return selection;
    return selectTarget(table, request, history.round.refused, policy, random, now);
}

} // namespace Lavenderloft::Routing::Queries
