#include "Admission/AdmissionFixture.h"

#include "Admission/Commands/ConsumePermit.h"
#include "Admission/Commands/RevokePermit.h"
#include "Admission/PauseDetector.h"
#include "Admission/Queries/AdaptersInUse.h"
#include "Admission/Queries/AttemptOutcome.h"
#include "Admission/Queries/FindRefusal.h"
#include "Admission/Queries/SilenceLimit.h"
#include "Admission/Queries/TargetLoad.h"

#include <atomic>
#include <criterion/criterion.h>
#include <thread>

using namespace Lavenderloft;
using namespace Lavenderloft::Admission;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

// Guards against running a body that arrives after its permit has expired, and against leaking the slots of expired
// permits.
Test(Permit, expiresOnTheAgentsClock)
{
    AdmissionFixture fixture;
    auto request = fixture.makeRequest("a");
    auto result = fixture.admit(request);
    cr_assert(std::holds_alternative<Permit>(result));
    auto permit = std::get<Permit>(result);
    fixture.clock.advance(permitLifetime);
    auto started = Commands::startRequest(fixture.state, request, permit.id, fixture.clock);
    cr_assert_not(Base::succeeded(started));
    cr_assert(Base::errorOf(started).kind == RefusalReason::PermitExpired);
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 0);
    cr_assert(Queries::attemptOutcome(fixture.state.permits, "a", 1) == Queries::AttemptOutcome::NotRun);
}

// Guards against admitting a request for an adapter that the engine has not loaded or the document no longer lists, and
// against unloading an adapter while a request uses it.
Test(Permit, requiresTheAdapterListedByEngineAndDocument)
{
    AdmissionFixture fixture;
    fixture.useModelEngine();
    DesiredState::Pool pool;
    pool.name = "assistant";
    pool.adapters = { "a1" };
    fixture.document->pools = { pool };
    auto request = fixture.makeRequest("a");
    request.adapter = "a1";
    auto refused = fixture.admit(request);
    cr_assert(fixture.reasonOf(refused) == RefusalReason::AdapterNotLoaded);
    cr_assert(std::get<Refusal>(refused).retryElsewhere);
    fixture.context.servedAdapters = { "a0", "a1" };
    cr_assert(fixture.run(request));
    cr_assert(Queries::adaptersInUse(fixture.state.permits) == std::set<std::string> { "a1" });
    fixture.document->pools[0].adapters.clear();
    auto late = fixture.makeRequest("b");
    late.adapter = "a1";
    cr_assert(fixture.reasonOf(fixture.admit(late)) == RefusalReason::AdapterNotLoaded);
    fixture.finish(request);
    cr_assert(Queries::adaptersInUse(fixture.state.permits).empty());
    cr_assert(fixture.run(fixture.makeRequest("c")));
}

// Guards against running two bodies with one permit.
Test(Permit, isSingleUse)
{
    AdmissionFixture fixture;
    auto request = fixture.makeRequest("a");
    auto permit = std::get<Permit>(fixture.admit(request));
    cr_assert(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert_not(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    fixture.finish(request);
    cr_assert_not(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert_not(Base::succeeded(Commands::consumePermit(fixture.state.permits, "a", "another", fixture.clock)));
}

// Guards against using a permit after the engine it was granted for has restarted.
Test(Permit, isRevokedWhenTheEngineRestarts)
{
    AdmissionFixture fixture;
    fixture.useModelEngine();
    Commands::configureLimit(fixture.state.limit, { 2, 8, 1000ms });
    Commands::applyEngineCondition(fixture.state, { true, 5, "digest-1", true, true }, fixture.clock);
    auto waiting = fixture.makeRequest("a");
    auto running = fixture.makeRequest("b");
    auto permit = std::get<Permit>(fixture.admit(waiting));
    cr_assert(fixture.run(running));
    auto crashed = Commands::applyEngineCondition(fixture.state, { true, 6, "digest-1", true, true }, fixture.clock);
    cr_assert_eq(crashed.size(), 1);
    cr_assert_eq(crashed.front(), running.fingerprint);
    cr_assert_not(Base::succeeded(Commands::startRequest(fixture.state, waiting, permit.id, fixture.clock)));
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 1);
}

// Guards against using a permit granted before the engine became cold, loaded different weights, or became unusable or
// unreachable, and against interrupting running requests.
Test(Permit, isRevokedWhenTheEngineChanges)
{
    const EngineCondition warm { true, 5, "digest-1", true, true };
    const std::vector<EngineCondition> changes {
        { true, 5, "digest-1", true, false },
        { true, 5, "digest-2", true, true },
        { true, 5, "digest-1", false, true },
        { false, 5, "digest-1", false, false },
    };
    for (auto& change : changes) {
        AdmissionFixture fixture;
        fixture.useModelEngine();
        Commands::applyEngineCondition(fixture.state, warm, fixture.clock);
        auto unused = fixture.makeRequest("unused");
        auto running = fixture.makeRequest("running");
        auto permit = std::get<Permit>(fixture.admit(unused));
        cr_assert(fixture.run(running));
        Commands::applyEngineCondition(fixture.state, change, fixture.clock);
        auto started = Commands::startRequest(fixture.state, unused, permit.id, fixture.clock);
        cr_assert_not(Base::succeeded(started));
        cr_assert(Base::errorOf(started).kind == RefusalReason::PermitExpired);
        cr_assert(Base::errorOf(started).retryElsewhere);
        cr_assert(Queries::attemptOutcome(fixture.state.permits, "unused", 1) == Queries::AttemptOutcome::NotRun);
        cr_assert(Queries::attemptOutcome(fixture.state.permits, "running", 1) == Queries::AttemptOutcome::Running);
        cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 1);
    }
}

// Guards against using a permit that was being granted while all others were revoked.
Test(Permit, ofAnEarlierEpochIsRejected)
{
    AdmissionFixture fixture;
    auto request = fixture.makeRequest("a");
    auto permit = std::get<Permit>(fixture.admit(request));
    ++fixture.state.permits.epoch;
    cr_assert_not(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 0);
}

// Guards against missing a request in a crash report because it broke off before the poll that detects the restart.
Test(Permit, reportsRequestsThatBrokeOffWithTheEngine)
{
    AdmissionFixture fixture;
    fixture.useModelEngine();
    Commands::configureLimit(fixture.state.limit, { 2, 8, 1000ms });
    Commands::applyEngineCondition(fixture.state, { true, 5, "digest-1", true, true }, fixture.clock);
    auto earlier = fixture.makeRequest("earlier");
    earlier.fingerprint = 8;
    cr_assert(fixture.run(earlier));
    fixture.finish(earlier, AttemptState::Broken);
    fixture.clock.advance(250ms);
    Commands::applyEngineCondition(fixture.state, { true, 5, "digest-1", true, true }, fixture.clock);
    auto request = fixture.makeRequest("a");
    cr_assert(fixture.run(request));
    fixture.clock.advance(10ms);
    fixture.finish(request, AttemptState::Broken);
    auto crashed = Commands::applyEngineCondition(fixture.state, { true, 6, "", false, false }, fixture.clock);
    cr_assert(crashed == std::vector<uint64_t> { 7 });
}

// Guards against running an attempt whose request arrives after it was reported as not run.
Test(Permit, refusesAnAttemptThatWasRevokedBeforeItArrived)
{
    AdmissionFixture fixture;
    Commands::revokePermit(fixture.state.permits, "late", {}, fixture.clock);
    cr_assert(Queries::attemptOutcome(fixture.state.permits, "late", 1) == Queries::AttemptOutcome::NotRun);
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("late"))) == RefusalReason::PermitExpired);
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 0);
}

// Guards against exceeding the limit when several threads request permits at the same time.
Test(Permit, limitHoldsAmongThreads)
{
    AdmissionFixture fixture;
    fixture.state.queue.maximumRequests = 0;
    std::atomic<int> granted { 0 };
    auto ask = [&](int thread) {
        for (int i = 0; i < 500; ++i) {
            auto request = fixture.makeRequest(std::to_string(thread) + "-" + std::to_string(i));
            auto result = fixture.admit(request);
            auto* permit = std::get_if<Permit>(&result);
            if (!permit)
                continue;
            ++granted;
            cr_assert_leq(fixture.state.permits.occupancy.usage().slots, 2);
            Commands::startRequest(fixture.state, request, permit->id, fixture.clock);
            fixture.finish(request);
        }
    };
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread)
        threads.emplace_back(ask, thread);
    for (auto& thread : threads)
        thread.join();
    cr_assert_gt(granted.load(), 0);
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 0);
    cr_assert_eq(fixture.state.permits.occupancy.usage().heldBytes, 0);
}

// Guards against request bodies whose total size exceeds the engine's memory.
Test(Permit, boundsTheBytesHeld)
{
    AdmissionFixture fixture;
    auto large = fixture.makeRequest("a");
    large.bodyBytes = 700;
    auto other = fixture.makeRequest("b");
    other.bodyBytes = 400;
    cr_assert(std::holds_alternative<Permit>(fixture.admit(large)));
    cr_assert(std::holds_alternative<Commands::Queued>(fixture.admit(other)));
    other.attemptId = "c";
    other.bodyBytes = 1001;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(other)) == RefusalReason::TooLarge);
}

// Guards against admitting requests at a target that is drained, leaving, out of service, about to load weights or not
// synchronised, and against a drain that interrupts running requests or revokes permits.
Test(Permit, drainStopsGrantsAndInterruptsNothing)
{
    AdmissionFixture fixture;
    auto running = fixture.makeRequest("a");
    auto permitted = fixture.makeRequest("b");
    cr_assert(fixture.run(running));
    auto permit = std::get<Permit>(fixture.admit(permitted));
    auto drained = std::make_shared<DesiredState::Document>(*fixture.document);
    drained->drains.push_back("vm-1");
    fixture.context.document = drained;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("c"))) == RefusalReason::Leaving);
    cr_assert(Base::succeeded(Commands::startRequest(fixture.state, permitted, permit.id, fixture.clock)));
    fixture.finish(running);
    cr_assert(Queries::attemptOutcome(fixture.state.permits, "a", 1) == Queries::AttemptOutcome::Complete);
    auto out = std::make_shared<DesiredState::Document>(*fixture.document);
    out->dataCentres.front().state = DesiredState::DataCentreState::Out;
    fixture.context.document = out;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("d"))) == RefusalReason::DataCentreOut);
    fixture.context.document = fixture.document;
    fixture.context.isLeaving = true;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("e"))) == RefusalReason::Leaving);
    fixture.context.isLeaving = false;
    fixture.context.isSynchronised = false;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("f"))) == RefusalReason::NotReady);
    fixture.context.isSynchronised = true;
    fixture.useModelEngine();
    auto wrong = fixture.makeRequest("g");
    wrong.weightsDigest = "digest-2";
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(wrong)) == RefusalReason::WrongDigest);
    fixture.context.isSwitching = true;
    cr_assert(AdmissionFixture::reasonOf(fixture.admit(fixture.makeRequest("h"))) == RefusalReason::NotReady);
    cr_assert_not(Queries::isAccepting(fixture.context));
}

// Guards against acting on stale state after a pause, even on a thread that resumes before the timer.
Test(PauseDetector, isPausedUntilTheStateIsPolledAgain)
{
    Base::ManualClock clock;
    PauseDetector detector(clock);
    cr_assert_not(detector.isRunning());
    detector.resume();
    cr_assert(detector.isRunning());
    clock.advance(1999ms);
    cr_assert_not(detector.tick());
    cr_assert(detector.isRunning());
    clock.advance(2001ms);
    cr_assert_not(detector.isRunning());
    cr_assert(detector.tick());
    cr_assert_not(detector.isRunning());
    clock.advance(250ms);
    cr_assert_not(detector.tick());
    cr_assert_not(detector.isRunning());
    detector.resume();
    cr_assert(detector.isRunning());
}

// Guards against using a permit after a pause of the agent.
Test(Permit, pauseRevokesPermits)
{
    AdmissionFixture fixture;
    auto request = fixture.makeRequest("a", "opaque");
    fixture.clock.advance(601s);
    auto permit = std::get<Permit>(fixture.admit(request));
    Commands::invalidatePermits(fixture.state, fixture.clock);
    cr_assert_not(Base::succeeded(Commands::startRequest(fixture.state, request, permit.id, fixture.clock)));
    cr_assert_eq(fixture.state.permits.occupancy.usage().slots, 0);
    cr_assert_eq(fixture.state.keys.recordCount.load(), 0);
}

// Guards against a long response that is given up because its target paused, with time left until the caller's deadline,
// and against a response without a deadline that is awaited for ever.
Test(SilenceLimit, isTheDeadlineOfTheCaller)
{
    AdmissionRequest request;
    cr_assert(Queries::silenceLimit(request) == 60s);
    request.deadline = 5s;
    cr_assert(Queries::silenceLimit(request) == 5s);
    request.deadline = 600s;
    cr_assert(Queries::silenceLimit(request) == 600s);
}
