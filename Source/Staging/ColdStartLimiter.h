#pragma once

#include "Base/Clock.h"

namespace Lavenderloft::Staging {

// Deals the places of an engine that has just started at the rate that it bears. Routers that use all of them
// together stay within the rate however many they are.
class ColdStartLimiter {
public:
    // How many of the wanted places may be dealt now.
    unsigned take(unsigned wanted, double requestsPerSecond, Base::TimePoint now);

    // The engine is no longer cold; the next cold period begins with no place at hand.
    void reset();

private:
    double m_tokens = 0;
    Base::TimePoint m_refilledAt {};
};

} // namespace Lavenderloft::Staging
