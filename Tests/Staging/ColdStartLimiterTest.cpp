#include "Staging/ColdStartLimiter.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against overloading a cold engine by granting slots faster than it can take requests. The limit is
// 1.5 times the rate plus 5 requests in any second.
Test(ColdStartLimiter, staysWithinTheRateInEverySecond)
{
    ColdStartLimiter limiter;
    Base::ManualClock clock;
    clock.advance(1h);
    std::vector<unsigned> granted;
    for (int round = 0; round < 50; ++round) {
        // No requests at first, so that tokens accumulate.
        granted.push_back(limiter.take(round < 20 ? 0 : 16, 28, clock.now()));
        clock.advance(100ms);
    }
    for (size_t first = 0; first + 12 <= granted.size(); ++first) {
        unsigned inOneSecond = 0;
        // More rounds than fit into a second, because grants of earlier rounds may still be in use.
        for (size_t round = first; round < first + 12; ++round)
            inOneSecond += granted[round];
        cr_assert_leq(inOneSecond, 47);
    }
    unsigned all = 0;
    for (auto slots : granted)
        all += slots;
    cr_assert_geq(all, 28 * 2, "the limiter uses the available rate");
}

// Guards against tokens of one cold start that are carried over into the next.
Test(ColdStartLimiter, startsEachPeriodWithAnEmptyBucket)
{
    ColdStartLimiter limiter;
    Base::ManualClock clock;
    clock.advance(1h);
    cr_assert_eq(limiter.take(16, 28, clock.now()), 0);
    clock.advance(1s);
    cr_assert_gt(limiter.take(16, 28, clock.now()), 0);
    limiter.reset();
    clock.advance(1s);
    cr_assert_eq(limiter.take(16, 28, clock.now()), 0);
}
