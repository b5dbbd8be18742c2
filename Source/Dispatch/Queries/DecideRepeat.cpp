#include "Dispatch/Queries/DecideRepeat.h"

namespace Lavenderloft::Dispatch::Queries {

namespace {

    // Bounds the attempts that ran nowhere, which the route's own bound does not count.
    constexpr unsigned maximumAttemptsOfAnyKind = 4;

} // namespace

bool mayRepeat(const Fleet::Route& route, const RequestHistory& history, AttemptEnd end)
{
    if (history.attempts >= maximumAttemptsOfAnyKind)
        return false;
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted)
        return true;
    return route.mayRepeat() && history.runs < route.maximumAttempts;
}

} // namespace Lavenderloft::Dispatch::Queries
