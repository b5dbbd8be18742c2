#include "Observability/LogRateLimiter.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Observability;
using namespace std::chrono_literals;

namespace {

constexpr Event served { 1, "served", Level::Info, "" };
constexpr Event failed { 2, "failed", Level::Warning, "" };

unsigned admitted(LogRateLimiter& budget, const Event& event, unsigned lines, Base::TimePoint now)
{
    unsigned count = 0;
    for (unsigned i = 0; i < lines; ++i)
        count += budget.admit(event, now);
    return count;
}

} // namespace

// Guards against a log that grows with the load.
Test(LogRateLimiter, boundsTheLinesOfAnEvent)
{
    LogRateLimiter budget;
    Base::ManualClock clock;
    unsigned lines = 0;
    for (int step = 0; step < 100; ++step) {
        lines += admitted(budget, served, 1000, clock.now());
        clock.advance(100ms);
    }
    cr_assert_leq(lines, LogRateLimiter::informationBurst + 10 * LogRateLimiter::informationRate);
    cr_assert_eq(budget.takeSuppressedLines(), 100 * 1000 - lines);
    cr_assert_eq(budget.takeSuppressedLines(), 0);
}

// Guards against lines of failed requests that are lost among those of served ones.
Test(LogRateLimiter, servedRequestsDoNotDisplaceFailedOnes)
{
    LogRateLimiter budget;
    Base::ManualClock clock;
    admitted(budget, served, 10000, clock.now());
    cr_assert_eq(admitted(budget, failed, 100, clock.now()), 100);
}
