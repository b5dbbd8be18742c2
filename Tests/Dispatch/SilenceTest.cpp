#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/FindSilenceLimits.h"

#include <criterion/criterion.h>
#include <optional>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

struct TwoTargets : TestDispatch {
    TwoTargets()
    {
        fleet.publish("t/1", targetOf("1", "s", "dc-a", 8));
        fleet.publish("t/2", targetOf("2", "s", "dc-a", 8));
    }

    void recordSilences(const std::string& target)
    {
        for (unsigned i = 0; i < 3; ++i)
            Commands::recordSilence(*state, "s", target, fleet.clock.now());
    }

    // As if a request had been sent so long ago.
    void respondAfter(std::chrono::milliseconds time)
    {
        auto now = fleet.clock.now();
        Commands::recordFirstPart(*state, "s", "1", now - time, now - time, now);
    }

    std::string chosenTarget()
    {
        auto decision = acquire("s");
        auto* lease = std::get_if<Lease>(&decision);
        return lease ? lease->target->entry.id : "";
    }

    SilenceLimits limits() { return Queries::findSilenceLimits(*state, request("s"), fleet.clock.now()); }
};

} // namespace

// Guards against new requests at a target that has gone silent, while another one responds.
Test(Silence, aSilentTargetGetsNoRequestsForSomeTime)
{
    TwoTargets test;
    test.recordSilences("1");
    for (unsigned i = 0; i < 6; ++i)
        cr_assert_eq(test.chosenTarget(), "2");
    test.fleet.clock.advance(5s);
    bool isChosenAgain = false;
    for (unsigned i = 0; i < 6; ++i)
        isChosenAgain = isChosenAgain || test.chosenTarget() == "1";
    cr_assert(isChosenAgain);
}

// Guards against a service that is refused as a whole because all of its targets are slow.
Test(Silence, targetsAreUsedIfAllAreSilent)
{
    TwoTargets test;
    test.recordSilences("1");
    test.recordSilences("2");
    cr_assert(isLease(test.acquire("s")));
}

// Guards against a target that stays out of use although it has gone on.
Test(Silence, endsWithTheNextPart)
{
    TwoTargets test;
    test.recordSilences("1");
    Commands::recordEndOfSilence(*test.state, "s", "1");
    bool isChosen = false;
    for (unsigned i = 0; i < 6; ++i)
        isChosen = isChosen || test.chosenTarget() == "1";
    cr_assert(isChosen);
}

// Guards against replacements at a service whose targets all take longer than its routes expect.
Test(Silence, limitsFollowTheTimesOfTheService)
{
    TwoTargets test;
    cr_assert_eq(test.limits().firstPart.count(), Base::Duration(1200ms).count());
    for (unsigned i = 0; i < 20; ++i) {
        test.respondAfter(1500ms);
        Commands::recordLongestPause(*test.state, "s", 900ms, test.fleet.clock.now());
    }
    cr_assert_gt(test.limits().firstPart.count(), Base::Duration(3000ms).count());
    cr_assert_lt(test.limits().firstPart.count(), Base::Duration(4000ms).count());
    cr_assert_gt(test.limits().betweenParts.count(), Base::Duration(1800ms).count());
}

// Guards against limits that stay long after the service has become fast again.
Test(Silence, limitsForgetEarlierTimes)
{
    TwoTargets test;
    for (unsigned i = 0; i < 20; ++i)
        test.respondAfter(1500ms);
    test.fleet.clock.advance(8s);
    for (unsigned i = 0; i < 20; ++i)
        test.respondAfter(100ms);
    cr_assert_eq(test.limits().firstPart.count(), Base::Duration(1200ms).count());
}

// Guards against limits that grow because a few targets are silent.
Test(Silence, limitsIgnoreAFewSlowResponses)
{
    TwoTargets test;
    for (unsigned i = 0; i < 20; ++i)
        test.respondAfter(i % 5 == 0 ? 5000ms : 100ms);
    cr_assert_eq(test.limits().firstPart.count(), Base::Duration(1200ms).count());
}

// Guards against a target that is passed over because of silences long ago.
Test(Silence, aServedRequestEndsTheCount)
{
    TwoTargets test;
    for (unsigned i = 0; i < 4; ++i) {
        Commands::recordSilence(*test.state, "s", "1", test.fleet.clock.now());
        test.release("s", "1");
    }
    Commands::recordSilence(*test.state, "s", "1", test.fleet.clock.now());
    bool isChosen = false;
    for (unsigned i = 0; i < 6; ++i)
        isChosen = isChosen || test.chosenTarget() == "1";
    cr_assert(isChosen);
}

// Guards against limits that still follow a time of slow responses after hours without a request.
Test(Silence, limitsForgetEarlierTimesWithoutFurtherResponses)
{
    TwoTargets test;
    for (unsigned i = 0; i < 20; ++i)
        test.respondAfter(10s);
    test.fleet.clock.advance(1h);
    cr_assert_eq(test.limits().firstPart.count(), Base::Duration(1200ms).count());
    cr_assert_eq(test.limits().typicalFirstPart.count(), 0);
}

// Guards against a sound target that is passed over because of single silences that lie far apart.
Test(Silence, silencesBetweenServedRequestsAreNotInARow)
{
    TwoTargets test;
    for (unsigned i = 0; i < 6; ++i) {
        Commands::recordSilence(*test.state, "s", "1", test.fleet.clock.now());
        test.fleet.clock.advance(1h);
        for (unsigned request = 0; request < 10; ++request)
            test.release("s", "1", Commands::AttemptResult::Served);
    }
    Commands::recordSilence(*test.state, "s", "1", test.fleet.clock.now());
    bool isChosen = false;
    for (unsigned i = 0; i < 6; ++i)
        isChosen = isChosen || test.chosenTarget() == "1";
    cr_assert(isChosen);
}

// Guards against requests at a target that still holds earlier ones without a sign, and keeps them after their callers have
// left.
Test(Silence, aTargetThatHoldsRequestsGetsNoOthers)
{
    TwoTargets test;
    std::optional<Lease> held;
    while (!held) {
        auto decision = test.acquire("s");
        auto& lease = std::get<Lease>(decision);
        if (lease.target->entry.id == "1")
            held = lease;
        else
            Commands::recordFirstPart(*test.state, "s", "2", lease.assignedAt, lease.assignedAt, test.fleet.clock.now());
    }
    test.fleet.clock.advance(1100ms);
    for (unsigned i = 0; i < 6; ++i)
        cr_assert_eq(test.chosenTarget(), "2");
    Commands::recordFirstPart(*test.state, "s", "1", held->assignedAt, held->assignedAt, test.fleet.clock.now());
    bool isChosen = false;
    for (unsigned i = 0; i < 6; ++i)
        isChosen = isChosen || test.chosenTarget() == "1";
    cr_assert(isChosen);
}
