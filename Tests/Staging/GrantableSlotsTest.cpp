#include "Base/ManualClock.h"
#include "Staging/Commands/TakeGrantableSlots.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against a slot that is granted to one router while the router that has just released it uses it again.
Test(GrantableSlots, aSlotIsGrantedOnceItWasFreeInTwoReports)
{
    Base::ManualClock clock;
    GrantableSlots state;
    cr_assert_eq(Commands::takeGrantableSlots(state, 4, std::nullopt, clock.now()), 0);
    cr_assert_eq(Commands::takeGrantableSlots(state, 6, std::nullopt, clock.now()), 4);
    cr_assert_eq(Commands::takeGrantableSlots(state, 2, std::nullopt, clock.now()), 2);
    cr_assert_eq(Commands::takeGrantableSlots(state, 6, std::nullopt, clock.now()), 2);
}

// Guards against grants above the rate of a cold engine, and against a second cold start that begins with tokens left
// from the first.
Test(GrantableSlots, aColdEngineIsGrantedItsRate)
{
    Base::ManualClock clock;
    GrantableSlots state;
    state.previouslyFree = 100;
    unsigned granted = 0;
    for (int report = 0; report < 20; ++report) {
        granted += Commands::takeGrantableSlots(state, 100, 4.0, clock.now());
        clock.advance(100ms);
    }
    cr_assert_geq(granted, 6);
    cr_assert_leq(granted, 9);
    cr_assert_eq(Commands::takeGrantableSlots(state, 100, std::nullopt, clock.now()), 100);
    cr_assert_eq(Commands::takeGrantableSlots(state, 100, 4.0, clock.now()), 0);
}

// Guards against slots that stay idle for another report although no router comes back to them, and against granting them at
// once before all routers know that.
Test(GrantableSlots, aSlotIsGrantedAtOnceWhileAllRoutersAreLimited)
{
    Base::ManualClock clock;
    GrantableSlots state;
    for (int report = 0; report < 4; ++report) {
        cr_assert_eq(Commands::takeGrantableSlots(state, 1 + report % 2, std::nullopt, clock.now()), report > 0 ? 1 : 0);
        Commands::recordReuseLimits(state, true, true);
    }
    cr_assert_eq(Commands::takeGrantableSlots(state, 5, std::nullopt, clock.now()), 5);
    Commands::recordReuseLimits(state, true, false);
    cr_assert_eq(Commands::takeGrantableSlots(state, 7, std::nullopt, clock.now()), 5, "some routers may not have heard of the limit");
    Commands::recordReuseLimits(state, false, true);
    cr_assert_eq(Commands::takeGrantableSlots(state, 9, std::nullopt, clock.now()), 7);
}
