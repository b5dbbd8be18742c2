#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/FindQuarantine.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t poison = 7;
constexpr uint64_t innocent = 8;

// A router before four targets, some of which crash.
struct Router : TestDispatch {
    Router()
    {
        fleet.publish("c", configurationOf(1, { plainService("s") }));
        for (auto id : { "1", "2", "3", "4" })
            fleet.publish("t/" + std::string(id), targetOf(id, "s"));
    }

    void breakRun(uint64_t fingerprint, const std::string& target) { Commands::recordBrokenRun(*state, fingerprint, "s", target, fleet.clock.now()); }
    std::vector<CrashReport> confirm() { return Commands::confirmCrashes(*state, fleet.clock.now()); }
    bool isQuarantined(uint64_t fingerprint) { return Queries::quarantinedFor(*state, fingerprint, fleet.clock.now()).has_value(); }
};

} // namespace

// Guards against a request that goes on crashing one target after the other, and against the refusal of requests that
// ran beside it.
Test(Quarantine, refusesARequestAfterTheThirdCrash)
{
    Router router;
    for (auto target : { "1", "2", "3" }) {
        router.breakRun(poison, target);
        router.fleet.remove("t/" + std::string(target));
        router.confirm();
    }
    router.breakRun(innocent, "3");
    router.confirm();
    cr_assert(router.isQuarantined(poison));
    cr_assert_not(router.isQuarantined(innocent));
    auto traits = router.request("s");
    traits.fingerprint = poison;
    auto decision = router.acquire(traits);
    cr_assert(refusalOf(decision) == RefusalReason::Quarantined);
    cr_assert_gt(std::get<Refusal>(decision).retryAfter.count(), 0);
    auto repeat = Commands::acquireForRetry(*router.state, traits, true, std::make_shared<RecordingObserver>(), router.fleet.clock.now());
    cr_assert(refusalOf(repeat) == RefusalReason::Quarantined);
    traits.fingerprint = innocent;
    cr_assert(isLease(router.acquire(traits)));
    router.fleet.clock.advance(CrashHistory::retention + 1s);
    cr_assert_not(router.isQuarantined(poison));
}

// Guards against requests that are refused because connections break while their targets go on.
Test(Quarantine, brokenConnectionsAloneDoNotCount)
{
    Router router;
    for (auto target : { "1", "2", "3", "4" })
        router.breakRun(poison, target);
    router.confirm();
    cr_assert_not(router.isQuarantined(poison));
    for (auto target : { "1", "2", "3" })
        router.release("s", target, Commands::AttemptResult::Unreachable);
    cr_assert_eq(router.confirm().size(), 3);
    cr_assert(router.isQuarantined(poison));
}

// Guards against a request that crashes three targets at each router, because it comes again at any of them.
Test(Quarantine, countsTheCrashesOfAllRouters)
{
    Router first;
    Router second;
    first.breakRun(poison, "1");
    first.breakRun(poison, "2");
    first.fleet.remove("t/1");
    first.fleet.remove("t/2");
    second.breakRun(poison, "3");
    second.fleet.remove("t/3");
    second.confirm();
    cr_assert_not(second.isQuarantined(poison));
    auto reports = first.confirm();
    Commands::mergeCrashReports(*second.state, reports, second.fleet.clock.now());
    Commands::mergeCrashReports(*second.state, reports, second.fleet.clock.now());
    cr_assert(second.isQuarantined(poison));
    cr_assert_eq(second.confirm().size(), 1, "what came from others is not passed on");
    second.fleet.clock.advance(2s);
    cr_assert_eq(second.confirm().size(), 0);
}

// Guards against a ledger that grows without bound while many connections break.
Test(Quarantine, remembersABoundedNumberOfRequests)
{
    Router router;
    for (uint64_t fingerprint = 0; fingerprint < 2 * CrashHistory::maximumRequests; ++fingerprint)
        router.breakRun(fingerprint, "1");
    cr_assert_leq(router.state->crashes().runs().size(), CrashHistory::maximumRequests);
    router.fleet.clock.advance(CrashHistory::confirmationPeriod + 1s);
    router.confirm();
    cr_assert_eq(router.state->crashes().runs().size(), 0);
}
