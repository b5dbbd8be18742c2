#include "Scheduling/TokenWorkEstimator.h"

#include <algorithm>

namespace Lavenderloft::Scheduling {

namespace {

    // Callers state the tokens themselves; none may claim more work than an engine has memory for.
    constexpr uint64_t maximumTokens = 1'000'000;
    // Work of an output token in prompt tokens.
    constexpr double outputTokenWork = 10;

    double clampedTokens(uint64_t tokens)
    {
        return static_cast<double>(std::min(tokens, maximumTokens));
    }

} // namespace

double TokenWorkEstimator::estimate(const RequestSize& size) const
{
    return std::max(1.0, clampedTokens(size.promptTokens) + outputTokenWork * clampedTokens(size.outputTokens));
}

} // namespace Lavenderloft::Scheduling
