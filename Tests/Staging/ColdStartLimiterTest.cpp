#include "Staging/ColdStartLimiter.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against a cold engine that falls over because its free places are dealt faster than it bears: the bound is
// one and a half times the rate and five, in any second.
Test(ColdStartLimiter, stayWithinTheRateInEverySecond)
{
    ColdStartLimiter grants;
    Base::ManualClock clock;
    clock.advance(1h);
    std::vector<unsigned> dealt;
    for (int round = 0; round < 50; ++round) {
        // Nothing is wanted for a while, so that places are saved.
        dealt.push_back(grants.take(round < 20 ? 0 : 16, 28, clock.now()));
        clock.advance(100ms);
    }
    for (size_t first = 0; first + 12 <= dealt.size(); ++first) {
        unsigned inOneSecond = 0;
        // A grant of the round before may still be used.
        for (size_t round = first; round < first + 12; ++round)
            inOneSecond += dealt[round];
        cr_assert_leq(inOneSecond, 47);
    }
    unsigned all = 0;
    for (auto places : dealt)
        all += places;
    cr_assert_geq(all, 28 * 2, "the rate is used");
}

// Guards against a cold period that begins with the places that were saved in the one before.
Test(ColdStartLimiter, beginEachPeriodWithNothing)
{
    ColdStartLimiter grants;
    Base::ManualClock clock;
    clock.advance(1h);
    cr_assert_eq(grants.take(16, 28, clock.now()), 0);
    clock.advance(1s);
    cr_assert_gt(grants.take(16, 28, clock.now()), 0);
    grants.reset();
    clock.advance(1s);
    cr_assert_eq(grants.take(16, 28, clock.now()), 0);
}
