#pragma once

#include "Base/Clock.h"

namespace Lavenderloft::Staging {

// Token bucket for the grants of an engine in its cold start. The agent issues all grants of its engine, so the
// routers together stay within the configured request rate, however many there are.
class ColdStartLimiter {
public:
    // Takes up to `requested` tokens and returns how many slots may be granted now.
    unsigned take(unsigned requested, double requestsPerSecond, Base::TimePoint now);

    // Ends the cold start. The next one begins with an empty bucket.
    void reset();

private:
    double m_tokens = 0;
    Base::TimePoint m_refilledAt {};
};

} // namespace Lavenderloft::Staging
