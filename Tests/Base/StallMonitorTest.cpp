#include "Base/StallMonitor.h"
#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft::Base;
using namespace std::chrono_literals;

// Guards against ages that are trusted although the loop stood still, both before and after its first tick.
Test(StallMonitor, reportsAStallUntilItEndedBeforeTheGivenTime)
{
    ManualClock clock;
    clock.advance(1h);
    StallMonitor monitor(clock, 50ms);
    auto before = clock.now();
    clock.advance(4s);
    cr_assert(monitor.hasStalledSince(before), "the loop has not ticked yet");
    cr_assert(monitor.hasStalledSince(clock.now()), "events that waited are handled before the tick");
    monitor.tick();
    cr_assert(monitor.hasStalledSince(before));
    clock.advance(10ms);
    cr_assert_not(monitor.hasStalledSince(clock.now()));
}

// Guards against ages that are never trusted because ticks are slightly late.
Test(StallMonitor, toleratesLateTicks)
{
    ManualClock clock;
    clock.advance(1h);
    StallMonitor monitor(clock, 50ms);
    auto before = clock.now();
    for (int i = 0; i < 20; ++i) {
        clock.advance(200ms);
        monitor.tick();
    }
    cr_assert_not(monitor.hasStalledSince(before));
}
