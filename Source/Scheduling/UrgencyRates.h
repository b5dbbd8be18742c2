#pragma once

#include "Base/Clock.h"
#include "Scheduling/UrgencyDemand.h"

#include <array>

namespace Lavenderloft::Scheduling {

// Exponentially weighted moving average of a number of events per second. Changed by Commands/RecordUrgency.
struct EventRate {
    double perSecond = 0;
    Base::TimePoint countedAt {};
};

// Arrivals and starts of a service's requests by urgency. Changed by Commands/RecordUrgency.
struct UrgencyRates {
    // Bursts last for seconds, and the rates have to follow them.
    static constexpr std::chrono::milliseconds window { 1000 };

    std::array<EventRate, DemandByUrgency::bandCount> arrivals {};
    std::array<EventRate, DemandByUrgency::bandCount> starts {};
};

} // namespace Lavenderloft::Scheduling
