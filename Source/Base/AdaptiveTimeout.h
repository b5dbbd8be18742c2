#pragma once

#include "Base/Clock.h"

#include <chrono>

namespace Lavenderloft::Base {

// The timeout of requests to a peer that may be slow for some time. It is doubled after each request that timed out, so
// that a slow peer is not taken for an unreachable one forever, and follows the response times afterwards. Not
// thread-safe.
class AdaptiveTimeout {
public:
    AdaptiveTimeout(std::chrono::milliseconds initial, std::chrono::milliseconds maximum);

    std::chrono::milliseconds current() const { return m_current; }

    void recordTimeout();

    void recordResponse(Duration responseTime);

private:
    const std::chrono::milliseconds m_initial;
    const std::chrono::milliseconds m_maximum;
    std::chrono::milliseconds m_current;
};

} // namespace Lavenderloft::Base
