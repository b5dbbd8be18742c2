#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/FindQuarantine.h"

#include <criterion/criterion.h>
#include <map>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t crashingRequest = 7;
constexpr uint64_t otherRequest = 8;

// A router with four targets, some of which crash.
struct Router : TestDispatch {
    Router()
    {
        fleet.publish("c", configurationOf(1, { plainService("s") }));
        for (auto id : { "1", "2", "3", "4" })
            fleet.publish("t/" + std::string(id), targetOf(id, "s"));
    }

    void breakRun(uint64_t fingerprint, const std::string& target) { Commands::recordBrokenRun(*state, fingerprint, targetOf(target, "s").entry, fleet.clock.now()); }
    std::vector<CrashReport> confirm() { return Commands::confirmCrashes(*state, fleet.clock.now()); }
    bool isQuarantined(uint64_t fingerprint) { return Queries::quarantinedFor(*state, fingerprint, fleet.clock.now()).has_value(); }
};

} // namespace

// A request that crashes one target after the other must be refused after the third crash. A request that ran at the
// same time as a crash must not be refused.
Test(Quarantine, refusesARequestAfterTheThirdCrash)
{
    Router router;
    for (auto target : { "1", "2", "3" }) {
        router.breakRun(crashingRequest, target);
        router.fleet.remove("t/" + std::string(target));
        router.confirm();
    }
    router.breakRun(otherRequest, "3");
    router.confirm();
    cr_assert(router.isQuarantined(crashingRequest));
    cr_assert_not(router.isQuarantined(otherRequest));
    auto traits = router.request("s");
    traits.fingerprint = crashingRequest;
    auto decision = router.acquire(traits);
    cr_assert(refusalOf(decision) == RefusalReason::Quarantined);
    cr_assert_gt(std::get<Refusal>(decision).retryAfter.count(), 0);
    auto retry = Commands::acquireForRetry(*router.state, traits, true, std::make_shared<RecordingObserver>(), router.fleet.clock.now());
    cr_assert(refusalOf(retry) == RefusalReason::Quarantined);
    traits.fingerprint = otherRequest;
    cr_assert(isLease(router.acquire(traits)));
    router.fleet.clock.advance(CrashHistory::retention + 1s);
    cr_assert_not(router.isQuarantined(crashingRequest));
}

// Broken connections must not lead to quarantine while their targets keep running.
Test(Quarantine, brokenConnectionsAloneDoNotCount)
{
    Router router;
    for (auto target : { "1", "2", "3", "4" })
        router.breakRun(crashingRequest, target);
    router.confirm();
    cr_assert_not(router.isQuarantined(crashingRequest));
    for (auto target : { "1", "2", "3" })
        router.release("s", target, Commands::AttemptResult::Unreachable);
    cr_assert_eq(router.confirm().size(), 3);
    cr_assert(router.isQuarantined(crashingRequest));
}

// Routers must count crashes together, because the caller may resend the request through any of them.
Test(Quarantine, countsTheCrashesOfAllRouters)
{
    Router first;
    Router second;
    first.breakRun(crashingRequest, "1");
    first.breakRun(crashingRequest, "2");
    first.fleet.remove("t/1");
    first.fleet.remove("t/2");
    second.breakRun(crashingRequest, "3");
    second.fleet.remove("t/3");
    second.confirm();
    cr_assert_not(second.isQuarantined(crashingRequest));
    auto reports = first.confirm();
    Commands::mergeCrashReports(*second.state, reports, second.fleet.clock.now());
    Commands::mergeCrashReports(*second.state, reports, second.fleet.clock.now());
    cr_assert(second.isQuarantined(crashingRequest));
    cr_assert_eq(second.confirm().size(), 1, "reports from other routers are not forwarded");
    second.fleet.clock.advance(2s);
    cr_assert_eq(second.confirm().size(), 0);
}

// The crash history must stay bounded while many connections break.
Test(Quarantine, boundsTheNumberOfRequests)
{
    Router router;
    for (uint64_t fingerprint = 0; fingerprint < 2 * CrashHistory::maximumRequests; ++fingerprint)
        router.breakRun(fingerprint, "1");
    cr_assert_leq(router.state->crashes().runs().size(), CrashHistory::maximumRequests);
    router.fleet.clock.advance(CrashHistory::confirmationPeriod + 1s);
    router.confirm();
    cr_assert_eq(router.state->crashes().runs().size(), 0);
}

namespace {

// A service whose targets start again under their ids.
struct RestartingService : Router {
    uint64_t starts = 1000;
    std::map<std::string, Fleet::TargetPublished> running;

    void start(const std::string& id)
    {
        running[id] = targetOf(id, "s");
        running[id].entry.startedAt = ++starts;
        fleet.publish("t/" + id, running[id]);
    }

    // The target crashes during the request and is back after some seconds.
    void crash(uint64_t fingerprint, const std::string& id)
    {
        Commands::recordBrokenRun(*state, fingerprint, running[id].entry, fleet.clock.now());
        confirm();
        fleet.clock.advance(2s);
        start(id);
        confirm();
    }
};

} // namespace

// Guards against a request that crashes targets without end because they start again under their ids.
Test(Quarantine, countsTargetsThatStartAgainUnderTheirIds)
{
    for (bool isOneTarget : { false, true }) {
        RestartingService service;
        for (auto id : { "1", "2", "3" })
            service.start(id);
        for (auto id : { "1", "2", "3" }) {
            cr_expect_not(service.isQuarantined(crashingRequest));
            service.crash(crashingRequest, isOneTarget ? "1" : id);
        }
        cr_expect(service.isQuarantined(crashingRequest));
    }
}

// Guards against a request that many callers send and that is refused because a target goes down and up while it runs there.
Test(Quarantine, aRequestThatIsServedIsNotTheCauseOfCrashes)
{
    RestartingService service;
    service.start("1");
    for (unsigned i = 0; i < 6; ++i) {
        service.crash(otherRequest, "1");
        Commands::recordRequestServed(*service.state, otherRequest);
        cr_expect_not(service.isQuarantined(otherRequest));
    }
}

// The history of one request must stay bounded.
Test(Quarantine, boundsTheRunsOfARequest)
{
    RestartingService service;
    service.start("1");
    for (unsigned i = 0; i < 3 * CrashHistory::maximumRunsPerRequest; ++i) {
        Commands::recordBrokenRun(*service.state, crashingRequest, service.running["1"].entry, service.fleet.clock.now());
        service.start("1");
    }
    cr_expect_leq(service.state->crashes().runs().find(crashingRequest)->size(), CrashHistory::maximumRunsPerRequest);
}

// Guards against a quarantine that ends with the routers that saw the crashes: each learns of it from those that were there
// before, and it lasts no longer for that.
Test(Quarantine, outlivesTheRoutersThatSawTheCrashes)
{
    RestartingService first;
    for (auto id : { "1", "2", "3" }) {
        first.start(id);
        first.crash(crashingRequest, id);
    }
    auto reports = Queries::listQuarantineCrashes(*first.state, first.fleet.clock.now());
    auto end = *Queries::quarantinedFor(*first.state, crashingRequest, first.fleet.clock.now());
    for (unsigned restart = 0; restart < 3; ++restart) {
        Router router;
        cr_expect_not(router.isQuarantined(crashingRequest));
        Commands::mergeCrashReports(*router.state, reports, router.fleet.clock.now());
        cr_assert(router.isQuarantined(crashingRequest));
        router.fleet.clock.advance(1s);
        end -= 1s;
        reports = Queries::listQuarantineCrashes(*router.state, router.fleet.clock.now());
        cr_expect(*Queries::quarantinedFor(*router.state, crashingRequest, router.fleet.clock.now()) == end);
    }
}
