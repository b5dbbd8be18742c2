#include "Dispatch/Queries/DecideRetry.h"

namespace Lavenderloft::Dispatch::Queries {

namespace {

    // Includes attempts that did not run, which the limit of the route does not count.
    constexpr unsigned maximumTotalAttempts = 4;

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::TimedOut:
        return "silent";
    case AttemptEnd::ErrorResponse:
        return "error_answer";
    }
    return "unknown";
}

bool mayRetry(const Fleet::Route& route, const RequestHistory& history, AttemptEnd end)
{
    if (history.cannotResume || history.attempts >= maximumTotalAttempts)
        return false;
    if (end == AttemptEnd::NotSent || end == AttemptEnd::NotExecuted)
        return true;
    return route.isRepeatable() && history.runs < route.maximumAttempts;
}

} // namespace Lavenderloft::Dispatch::Queries
