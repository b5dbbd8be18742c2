#include "Scheduling/Queries/ReadUrgencyRates.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Scheduling::Queries {

double rateAt(const EventRate& rate, Base::TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(now - rate.countedAt) / UrgencyRates::window;
    return rate.perSecond * std::exp(-std::max(elapsed, 0.0));
}

void addRates(DemandByUrgency& demand, const UrgencyRates& rates, Base::TimePoint now)
{
    for (size_t band = 0; band < DemandByUrgency::bandCount; ++band) {
        demand.bands[band].requestsPerSecond += rateAt(rates.arrivals[band], now);
        demand.bands[band].startsPerSecond += rateAt(rates.starts[band], now);
    }
}

} // namespace Lavenderloft::Scheduling::Queries
