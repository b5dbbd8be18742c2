#include "Routing/Commands/RecordCrash.h"
#include "Routing/Queries/FindQuarantine.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t culprit = 1;
constexpr uint64_t bystander = 2;

void crash(QuarantineTable& table, const std::string& target, std::initializer_list<uint64_t> running, Base::TimePoint now)
{
    for (auto fingerprint : running)
        Commands::recordRunStart(table, target, fingerprint);
    for (auto fingerprint : running)
        Commands::recordCrash(table, target, fingerprint, now);
    for (auto fingerprint : running)
        Commands::recordRunEnd(table, target, fingerprint);
}

bool isQuarantined(const QuarantineTable& table, uint64_t fingerprint, Base::TimePoint now)
{
    return Queries::findQuarantine(table, fingerprint, now).state == QuarantineState::Quarantined;
}

} // namespace

// Guards against a request that crashes one target after another, and against quarantining requests that ran at the
// same time.
Test(Quarantine, quarantinesOnlyTheRequestCommonToTwoCrashes)
{
    Base::ManualClock clock;
    QuarantineTable table;
    crash(table, "t1", { culprit, bystander, 3 }, clock.now());
    crash(table, "t1", { culprit, 4 }, clock.now() + 10s);
    cr_assert_not(isQuarantined(table, culprit, clock.now()), "crashes of a single target are not sufficient");
    crash(table, "t2", { culprit, 5 }, clock.now());
    cr_assert(isQuarantined(table, culprit, clock.now()));
    for (uint64_t other : { bystander, uint64_t(3), uint64_t(4), uint64_t(5) })
        cr_assert_not(isQuarantined(table, other, clock.now()));
}

// Guards against quarantining a request while two requests are common to both crashes, in any order of the reports.
Test(Quarantine, quarantinesNoneWhileTwoRequestsAreCommon)
{
    Base::ManualClock clock;
    QuarantineTable table;
    crash(table, "t1", { bystander, culprit }, clock.now());
    Commands::recordRunStart(table, "t2", bystander);
    Commands::recordRunStart(table, "t2", culprit);
    Commands::recordCrash(table, "t2", bystander, clock.now());
    cr_assert_not(isQuarantined(table, bystander, clock.now()), "the first report must include all requests that ran");
    Commands::recordCrash(table, "t2", culprit, clock.now());
    cr_assert_not(isQuarantined(table, culprit, clock.now()));
    crash(table, "t3", { culprit }, clock.now());
    cr_assert(isQuarantined(table, culprit, clock.now()));
    cr_assert_not(isQuarantined(table, bystander, clock.now()));
}

// Guards against a permanent quarantine and against unbounded growth of the table.
Test(Quarantine, expiresCrashesAndStaysBounded)
{
    Base::ManualClock clock;
    QuarantineTable table;
    crash(table, "t1", { culprit }, clock.now());
    crash(table, "t2", { culprit }, clock.now());
    cr_assert(isQuarantined(table, culprit, clock.now()));
    clock.advance(QuarantineTable::retention);
    cr_assert_not(isQuarantined(table, culprit, clock.now()));
    Commands::expireCrashes(table, clock.now());
    cr_assert_eq(table.crashes().size(), 0);
    for (int i = 0; i < 1000; ++i)
        crash(table, "target-" + std::to_string(i), { culprit }, clock.now());
    cr_assert_leq(table.crashes().size(), QuarantineTable::maximumTargets);
    cr_assert_eq(table.inFlight().size(), 0);
}

// Guards against a request that crashes targets through several routers, and against a quarantine based on incomplete
// reports.
Test(Quarantine, mergesCrashReportsOfOtherRouters)
{
    Base::ManualClock clock;
    QuarantineTable first;
    QuarantineTable second;
    crash(first, "t1", { culprit, bystander }, clock.now());
    crash(second, "t2", { culprit }, clock.now());
    Commands::mergeCrashReports(second, Queries::listCrashReports(first, clock.now()), clock.now());
    cr_assert_not(isQuarantined(second, culprit, clock.now()));
    cr_assert(Queries::findQuarantine(second, culprit, clock.now()).state == QuarantineState::Pending);
    clock.advance(QuarantineTable::exchangeTime);
    cr_assert(isQuarantined(second, culprit, clock.now()));
    cr_assert_not(isQuarantined(second, bystander, clock.now()));
    auto before = Queries::listCrashReports(second, clock.now());
    Commands::mergeCrashReports(second, before, clock.now());
    cr_assert(isQuarantined(second, culprit, clock.now()), "a repeated exchange must not extend the exchange time");
}

// Guards against a third crash by a request that has crashed two targets.
Test(Quarantine, stopsARequestAfterTwoCrashes)
{
    RoutingFixture fixture(5);
    fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.crashEngine(); };
    auto caller = fixture.start(fixture.poolRequest("poison"));
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert(caller->error->code == ErrorCode::Quarantined);
    auto again = fixture.start(fixture.poolRequest("poison"));
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert(again->error->code == ErrorCode::Quarantined);
    cr_assert(again->error->outcome == Outcome::NotRun);
    fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.respond("fine"); };
    cr_assert(fixture.start(fixture.poolRequest("harmless"))->completed);
}

// Guards against a third crash while reports of other routers, which may clear the request, are outstanding.
Test(Quarantine, holdsARequestWhileReportsAreOutstanding)
{
    RoutingFixture fixture(5);
    fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.crashEngine(); };
    fixture.start(fixture.poolRequest("poison"));
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    auto crashes = Queries::listCrashReports(fixture.context->quarantine, fixture.clock.now());
    Commands::mergeCrashReports(fixture.context->quarantine, { { bystander, crashes.front().target, 0s } }, fixture.clock.now());

    auto held = fixture.start(fixture.poolRequest("poison"));
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert(held->error->code == ErrorCode::QuarantinePending);
    cr_assert(held->error->outcome == Outcome::NotRun);
    cr_assert(held->error->retryAfter == QuarantineTable::exchangeTime);
    fixture.clock.advance(QuarantineTable::exchangeTime);
    cr_assert(fixture.start(fixture.poolRequest("poison"))->error->code == ErrorCode::Quarantined);
    cr_assert_eq(fixture.channels.attempts.size(), 2);
}

// Guards against holding back a request that is not the only one common to two crashes.
Test(Quarantine, doesNotHoldARequestThatSharesBothCrashes)
{
    Base::ManualClock clock;
    QuarantineTable table;
    crash(table, "t1", { culprit, bystander }, clock.now());
    crash(table, "t2", { culprit, bystander }, clock.now());
    Commands::mergeCrashReports(table, { { 3, "t1", 0s } }, clock.now());
    cr_assert(Queries::findQuarantine(table, bystander, clock.now()).state == QuarantineState::Free);
}
