#include "Base/AdaptiveTimeout.h"

#include <algorithm>

namespace Lavenderloft::Base {

namespace {

    // Ratio of the timeout to the last response time.
    constexpr int responseTimeFactor = 2;

} // namespace

AdaptiveTimeout::AdaptiveTimeout(std::chrono::milliseconds initial, std::chrono::milliseconds maximum)
    : m_initial(initial)
    , m_maximum(maximum)
    , m_current(initial)
{
}

void AdaptiveTimeout::recordTimeout()
{
    m_current = std::min(m_current * 2, m_maximum);
}

void AdaptiveTimeout::recordResponse(Duration responseTime)
{
    auto expected = std::chrono::ceil<std::chrono::milliseconds>(responseTime * responseTimeFactor);
    m_current = std::clamp(expected, m_initial, m_maximum);
}

} // namespace Lavenderloft::Base
