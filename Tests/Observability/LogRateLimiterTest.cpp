#include "Observability/LogRateLimiter.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Observability;
using namespace std::chrono_literals;

namespace {

constexpr Event requestSucceeded { 1, "served", Level::Info, "" };
constexpr Event requestFailed { 2, "failed", Level::Warning, "" };

unsigned admitLines(LogRateLimiter& limiter, const Event& event, unsigned lines, Base::TimePoint now)
{
    unsigned count = 0;
    for (unsigned i = 0; i < lines; ++i)
        count += limiter.admit(event, now);
    return count;
}

} // namespace

// Guards against a log whose size grows with the load.
Test(LogRateLimiter, limitsTheLinesOfAnEvent)
{
    LogRateLimiter limiter;
    Base::ManualClock clock;
    unsigned lines = 0;
    for (int step = 0; step < 100; ++step) {
        lines += admitLines(limiter, requestSucceeded, 1000, clock.now());
        clock.advance(100ms);
    }
    cr_assert_leq(lines, LogRateLimiter::informationBurst + 10 * LogRateLimiter::informationRate);
    cr_assert_eq(limiter.takeSuppressedLines(), 100 * 1000 - lines);
    cr_assert_eq(limiter.takeSuppressedLines(), 0);
}

// Guards against suppressing lines of failed requests because of many successful ones.
Test(LogRateLimiter, successfulRequestsDoNotSuppressFailedOnes)
{
    LogRateLimiter limiter;
    Base::ManualClock clock;
    admitLines(limiter, requestSucceeded, 10000, clock.now());
    cr_assert_eq(admitLines(limiter, requestFailed, 100, clock.now()), 100);
}
