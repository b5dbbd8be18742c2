#include "Scheduling/Commands/RecordUrgency.h"

#include "Scheduling/Queries/ReadUrgencyRates.h"

namespace Lavenderloft::Scheduling::Commands {

namespace {

    void count(EventRate& rate, Base::TimePoint now)
    {
        constexpr auto window = std::chrono::duration<double>(UrgencyRates::window).count();
        rate.perSecond = Queries::rateAt(rate, now) + 1 / window;
        rate.countedAt = now;
    }

} // namespace

void countArrival(UrgencyRates& rates, int urgency, Base::TimePoint now)
{
    count(rates.arrivals[DemandByUrgency::bandOf(urgency)], now);
}

void countStart(UrgencyRates& rates, int urgency, Base::TimePoint now)
{
    count(rates.starts[DemandByUrgency::bandOf(urgency)], now);
}

} // namespace Lavenderloft::Scheduling::Commands
