#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/FindBlockedPart.h"
#include "Dispatch/Queries/ListPartReports.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t crashingPart = 0x5c1e07a2;
constexpr uint64_t commonPart = 0x91bd3f06;

// A router whose targets crash; requests are no two alike, but share parts of their prompts.
struct Router : TestDispatch {
    uint64_t fingerprint = 0;
    unsigned targets = 0;

    Router()
    {
        fleet.publish("c", configurationOf(1, { plainService("s") }));
        fleet.publish("t/sound", targetOf("sound", "s"));
    }

    // A target that crashes while a request with the parts runs there, and whose entry vanishes.
    void crash(const std::vector<uint64_t>& parts)
    {
        auto id = "crashed-" + std::to_string(++targets);
        fleet.publish("t/" + id, targetOf(id, "s"));
        Commands::recordBrokenRun(*state, ++fingerprint, targetOf(id, "s").entry, fleet.clock.now(), parts);
        fleet.remove("t/" + id);
        Commands::confirmCrashes(*state, fleet.clock.now());
    }

    void crashSeveral(unsigned count, const std::vector<uint64_t>& parts)
    {
        for (unsigned i = 0; i < count; ++i) {
            crash(parts);
            fleet.clock.advance(500ms);
        }
    }

    void serve(uint64_t part) { Commands::recordPartsServed(*state, { { part, 10 } }, fleet.clock.now()); }

    RequestTraits requestWith(uint64_t part)
    {
        auto traits = request("s");
        traits.fingerprint = ++fingerprint;
        traits.sharedParts = { { part, 10 } };
        return traits;
    }

    bool isBlocked(uint64_t part) { return refusalOf(acquireOnce(part)) == RefusalReason::BlockedPart; }

    Decision acquireOnce(uint64_t part)
    {
        auto decision = acquire(requestWith(part));
        if (auto* lease = std::get_if<Lease>(&decision))
            release("s", lease->target->entry.id, Commands::AttemptResult::Abandoned);
        return decision;
    }

    PartReports reports() { return Queries::listPartReports(*state, fleet.clock.now()); }
    void merge(const PartReports& reports) { Commands::mergePartReports(*state, reports, fleet.clock.now()); }
    void expire() { Commands::expirePartEvidence(*state, fleet.clock.now()); }
};

} // namespace

// Guards against requests that share only one part of their prompt crashing one target after the other: each has its own
// fingerprint, so none is quarantined.
Test(PartEvidence, refusesRequestsWithAPartThatCrashedThreeTargets)
{
    Router router;
    router.crashSeveral(2, { crashingPart, commonPart });
    cr_assert_not(router.isBlocked(crashingPart));
    router.serve(commonPart);
    router.crash({ crashingPart, commonPart });
    auto decision = router.acquire(router.requestWith(crashingPart));
    cr_assert(refusalOf(decision) == RefusalReason::BlockedPart);
    cr_assert_gt(std::get<Refusal>(decision).retryAfter.count(), 0);
    auto retry = Commands::acquireForRetry(*router.state, router.requestWith(crashingPart), true, std::make_shared<RecordingObserver>(), router.fleet.clock.now());
    cr_assert(refusalOf(retry) == RefusalReason::BlockedPart);
    cr_assert_not(router.isBlocked(commonPart));
}

// Guards against refusing sound requests because they ran beside the ones that crashed their targets.
Test(PartEvidence, aResponseClearsAPartOfEarlierCrashes)
{
    Router router;
    for (unsigned i = 0; i < 10; ++i) {
        router.crash({ crashingPart, commonPart });
        router.fleet.clock.advance(200ms);
        router.serve(commonPart);
    }
    cr_assert(router.isBlocked(crashingPart));
    cr_assert_not(router.isBlocked(commonPart));
}

// Guards against refusing requests after a power failure: many targets end at once, and all requests that ran there share
// some part.
Test(PartEvidence, theLossOfManyTargetsAtOnceBlocksNothing)
{
    Router router;
    for (unsigned i = 0; i < 8; ++i) {
        router.crash({ crashingPart });
        router.fleet.clock.advance(5ms);
    }
    cr_assert_not(router.isBlocked(crashingPart));
}

// Guards against refusing a part of many sound requests when targets end one shortly after the other for another reason.
Test(PartEvidence, aPartOfServedRequestsNeedsMoreCrashes)
{
    Router router;
    router.serve(commonPart);
    router.fleet.clock.advance(10ms);
    router.crashSeveral(4, { commonPart });
    cr_assert_not(router.isBlocked(commonPart));
    router.crash({ commonPart });
    cr_assert(router.isBlocked(commonPart), "new weights can make a part crash targets that was served before");
}

// Guards against refusing sound requests that share the first part with the crashing ones, while none of them has been
// answered yet: both parts were in the same crashes.
Test(PartEvidence, aBlockedPartExplainsTheCrashesOfOthers)
{
    Router router;
    for (unsigned i = 0; i < 3; ++i) {
        router.crash({ commonPart, crashingPart });
        router.fleet.clock.advance(200ms);
    }
    cr_assert(router.isBlocked(crashingPart));
    cr_assert_not(router.isBlocked(commonPart));
    router.crashSeveral(3, { commonPart });
    cr_assert(router.isBlocked(commonPart), "its own crashes count");
}

// Guards against the same when the crashes were confirmed by another router.
Test(PartEvidence, reportsTellWhichPartIsMoreSuspect)
{
    Router reporting;
    Router router;
    router.serve(commonPart);
    router.fleet.clock.advance(10ms);
    for (unsigned i = 0; i < 3; ++i) {
        reporting.crash({ commonPart, crashingPart });
        reporting.fleet.clock.advance(200ms);
        router.fleet.clock.advance(200ms);
    }
    auto reports = reporting.reports();
    router.merge(reports);
    cr_assert(router.isBlocked(crashingPart));
    cr_assert_not(router.isBlocked(commonPart));
    auto answer = router.reports();
    cr_assert_eq(answer.served.size(), 1, "the others learn that requests with the part were served before");
    reporting.merge(answer);
    Router third;
    third.serve(commonPart);
    third.fleet.clock.advance(1s);
    third.merge(answer);
    third.merge(reports);
    cr_assert(third.reports().served.empty(), "one router's answer is enough");
}

// Guards against a queued request with a blocked part reaching a target that becomes free.
Test(PartEvidence, refusesQueuedRequests)
{
    Router router;
    std::vector<std::string> leased;
    std::shared_ptr<RecordingObserver> observer;
    auto queued = false;
    while (!queued) {
        observer = std::make_shared<RecordingObserver>();
        auto decision = router.acquire(router.requestWith(crashingPart), observer);
        queued = std::holds_alternative<Queued>(decision);
        cr_assert(queued || isLease(decision));
    }
    router.crashSeveral(3, { crashingPart });
    Commands::refuseBlockedWaiting(*router.state, router.fleet.clock.now());
    cr_assert(observer->outcome.has_value());
    auto* refusal = std::get_if<Refusal>(&*observer->outcome);
    cr_assert(refusal && refusal->reason == RefusalReason::BlockedPart);
}

// Guards against each router having to lose targets of its own before it refuses the part.
Test(PartEvidence, countsTheCrashesOfAllRouters)
{
    Router first;
    Router second;
    second.targets = 100;
    first.crashSeveral(2, { crashingPart });
    second.fleet.clock.advance(1s);
    second.crash({ crashingPart });
    cr_assert_not(second.isBlocked(crashingPart));
    auto reports = first.reports();
    second.merge(reports);
    second.merge(reports);
    cr_assert(second.isBlocked(crashingPart));
    Router third;
    third.fleet.clock.advance(1s);
    third.merge(reports);
    third.merge(reports);
    cr_assert_not(third.isBlocked(crashingPart), "a repeated report is the same crash");
}

// Guards against a router refusing a part that it rarely sees, although other routers serve its requests.
Test(PartEvidence, responsesOfOtherRoutersClearAPart)
{
    Router serving;
    Router suspecting;
    suspecting.crashSeveral(3, { commonPart });
    serving.fleet.clock.advance(1500ms);
    serving.serve(commonPart);
    cr_assert(suspecting.isBlocked(commonPart));
    serving.merge(suspecting.reports());
    auto answer = serving.reports();
    cr_assert_eq(answer.served.size(), 1);
    suspecting.merge(answer);
    cr_assert_not(suspecting.isBlocked(commonPart));
    serving.fleet.clock.advance(5s);
    cr_assert(serving.reports().isEmpty(), "responses are announced for a short time only");
}

// Guards against a router that has just started letting the blocked requests through again.
Test(PartEvidence, aNewRouterLearnsOfABlockedPart)
{
    Router refusing;
    refusing.crashSeveral(3, { crashingPart });
    refusing.fleet.clock.advance(20s);
    cr_assert(refusing.reports().isEmpty(), "old crashes are not repeated");
    cr_assert(refusing.isBlocked(crashingPart));
    Router started;
    started.fleet.clock.advance(30s);
    started.merge(refusing.reports());
    cr_assert(started.isBlocked(crashingPart));
}

// Guards against messages that grow with the square of the routers while all of them refuse requests with the same part.
Test(PartEvidence, oneRouterReportsABlockedPartForAll)
{
    Router first;
    Router second;
    first.crashSeveral(3, { crashingPart });
    first.fleet.clock.advance(20s);
    second.fleet.clock.advance(21500ms);
    cr_assert(first.isBlocked(crashingPart));
    second.merge(first.reports());
    cr_assert(second.isBlocked(crashingPart));
    cr_assert(second.reports().isEmpty());
    second.fleet.clock.advance(1500ms);
    cr_assert(second.isBlocked(crashingPart));
    cr_assert_eq(second.reports().crashes.size(), 3, "it takes over when the other one is silent");
}

// Guards against another five crashes each time a block ends.
Test(PartEvidence, aBlockLastsWhileRequestsComeAndOneCrashRenewsIt)
{
    Router router;
    router.crashSeveral(3, { crashingPart });
    for (unsigned i = 0; i < 5; ++i) {
        router.fleet.clock.advance(PartEvidence::blockPeriod - 1s);
        router.expire();
        cr_assert(router.isBlocked(crashingPart));
    }
    router.fleet.clock.advance(PartEvidence::blockPeriod + 1s);
    router.expire();
    cr_assert_not(router.isBlocked(crashingPart));
    router.crash({ crashingPart });
    cr_assert(router.isBlocked(crashingPart));
}

// Guards against refusing a part for ever: without requests that run there can be no response that clears it.
Test(PartEvidence, aBlockEndsSomeTime)
{
    Router router;
    router.crashSeveral(3, { crashingPart });
    auto end = router.fleet.clock.now() + PartEvidence::maximumBlock;
    while (router.fleet.clock.now() < end) {
        router.isBlocked(crashingPart);
        router.fleet.clock.advance(10s);
    }
    router.expire();
    cr_assert_not(router.isBlocked(crashingPart));
    router.serve(crashingPart);
    router.crash({ crashingPart });
    cr_assert_not(router.isBlocked(crashingPart), "a response clears the part of its history");
}

// Guards against a block outliving a request that was under way and is served.
Test(PartEvidence, aResponseEndsABlock)
{
    Router router;
    router.crashSeveral(3, { crashingPart });
    cr_assert(router.isBlocked(crashingPart));
    router.serve(crashingPart);
    cr_assert_not(router.isBlocked(crashingPart));
    cr_assert_eq(router.state->parts().blockedCount(), 0);
}

// Guards against false reports that empty a service, and against evidence that fills the memory.
Test(PartEvidence, boundsBlockedPartsAndRecords)
{
    Router router;
    PartReports reports;
    for (uint64_t part = 1; part <= 2 * PartEvidence::maximumParts; ++part) {
        for (auto age : { 3000ms, 2000ms, 1000ms })
            reports.crashes.push_back({ part, "t" + std::to_string(part) + "-" + std::to_string(age.count()), age });
    }
    router.merge(reports);
    cr_assert_leq(router.state->parts().records().size(), PartEvidence::maximumParts);
    cr_assert_eq(Queries::listBlockedParts(*router.state, router.fleet.clock.now()).size(), PartEvidence::maximumBlockedParts);
    router.fleet.clock.advance(PartEvidence::retention + PartEvidence::blockPeriod);
    router.expire();
    router.expire();
    cr_assert_eq(router.state->parts().blockedCount(), 0);
}

// Guards against a block that comes seconds late, because a crash was confirmed only by a failed connection or by the end
// of the target's entry.
Test(PartEvidence, theReportOfTheAgentConfirmsACrash)
{
    Router router;
    auto breakAndReport = [&](const std::string& id, std::chrono::milliseconds later) {
        router.fleet.publish("t/" + id, targetOf(id, "s"));
        Commands::recordBrokenRun(*router.state, ++router.fingerprint, targetOf(id, "s").entry, router.fleet.clock.now(), { crashingPart });
        Commands::recordTargetEnd(*router.state, "s", id, router.fleet.clock.now() + later);
        router.fleet.clock.advance(300ms);
        Commands::confirmCrashes(*router.state, router.fleet.clock.now());
    };
    for (auto id : { "1", "2", "3" })
        breakAndReport(id, 5s);
    cr_assert_not(router.isBlocked(crashingPart), "the target ended long after the connection broke");
    router.fleet.clock.advance(10s);
    for (auto id : { "4", "5", "6" })
        breakAndReport(id, 100ms);
    cr_assert(router.isBlocked(crashingPart));
}

// Guards against a part that crashes targets without end because many others stand before it: requests have all of them in
// their crashes, and a message to the other routers has room for few.
Test(PartEvidence, findsTheCrashingPartBehindManyOthers)
{
    constexpr uint64_t firstSoundPart = 1000;
    constexpr size_t soundParts = 200;
    constexpr size_t reportsOfAMessage = 64;
    std::vector<uint64_t> parts;
    for (uint64_t i = 0; i < soundParts; ++i)
        parts.push_back(firstSoundPart + i);
    parts.push_back(crashingPart);
    Router router;
    Router other;
    for (uint64_t part = firstSoundPart; part < firstSoundPart + soundParts; ++part)
        router.serve(part);
    for (unsigned i = 0; i < 3; ++i) {
        router.crash(parts);
        auto reports = Queries::listPartReports(*router.state, router.fleet.clock.now());
        reports.crashes.resize(std::min(reports.crashes.size(), reportsOfAMessage));
        Commands::mergePartReports(*other.state, reports, other.fleet.clock.now());
        router.fleet.clock.advance(500ms);
        other.fleet.clock.advance(500ms);
    }
    cr_expect(router.isBlocked(crashingPart));
    cr_expect(other.isBlocked(crashingPart));
    cr_expect_not(router.isBlocked(firstSoundPart));
}
