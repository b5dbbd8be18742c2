#include "Dispatch/Commands/RecordStatement.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/ListReluctantTargets.h"

#include <criterion/criterion.h>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t firstStart = 100;

Fleet::TargetPublished startedTarget(const std::string& id, uint64_t startedAt = firstStart)
{
    auto target = targetOf(id, "s");
    target.entry.startedAt = startedAt;
    return target;
}

// One plain service "s" with the given targets.
struct TestTargets : TestDispatch {
    explicit TestTargets(std::initializer_list<std::string> ids)
    {
        for (auto& id : ids)
            fleet.publish("t/" + id, startedTarget(id));
    }

    Commands::LearnedStatement state(const std::string& id, const TargetStatement& statement)
    {
        return Commands::recordStatement(*TestDispatch::state, "s", startedTarget(id).entry, statement, fleet.clock.now(), fleet.clock.now());
    }

    std::chrono::milliseconds retryAfter(uint64_t fingerprint)
    {
        auto traits = request("s");
        traits.fingerprint = fingerprint;
        return std::get<Refusal>(acquire(traits)).retryAfter;
    }

    void release(const std::string& id, Commands::AttemptResult result) { Commands::releaseTarget(*TestDispatch::state, "s", id, result, fleet.clock.now()); }
};

const TargetStatement leaving { true, std::nullopt };

TargetStatement holdsBack(std::chrono::milliseconds duration) { return { false, duration }; }

} // namespace

// Guards against new requests to a target that said it leaves while the published list, which lags, says it is ready.
Test(TargetStatement, aLeavingTargetGetsNoRequestsWhateverItsEntrySays)
{
    TestTargets test { "1" };
    cr_assert(isLease(test.acquire("s")));
    cr_assert(test.state("1", leaving).isNewlyLeaving);
    cr_assert_not(test.state("1", leaving).isNewlyLeaving);
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
    test.release("1", Commands::AttemptResult::Served);
    test.fleet.publish("t/1", startedTarget("1"));
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
    // The entry expired while the store was away, and is published again.
    test.fleet.remove("t/1");
    Commands::removeUnpublishedTargets(*test.TestDispatch::state, test.fleet.clock.now());
    test.fleet.publish("t/1", startedTarget("1"));
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
}

// Guards against a target that stays unused because an earlier incarnation with the same id, or another target at the same
// address, has left.
Test(TargetStatement, anotherIncarnationIsNotBound)
{
    TestTargets test { "1" };
    test.state("1", leaving);
    test.fleet.publish("t/1", startedTarget("1", firstStart + 1));
    cr_assert(isLease(test.acquire("s")));
    test.fleet.remove("t/1");
    test.fleet.publish("t/2", startedTarget("2"));
    cr_assert(isLease(test.acquire("s")));
}

// Guards against requests to a target within the time for which it holds this router back, and against targets that hold
// it back for ever.
Test(TargetStatement, aTargetThatHoldsBackIsUsedAgainAfterwards)
{
    TestTargets test { "1", "2" };
    cr_assert(test.state("1", holdsBack(3s)).heldBackFor == 3s);
    cr_assert_not(test.state("1", holdsBack(2s)).heldBackFor.has_value(), "an earlier end does not replace a later one");
    for (int i = 0; i < 4; ++i)
        cr_assert_eq(std::get<Lease>(test.acquire("s")).target->entry.id, "2");
    cr_assert_eq(Queries::listReluctantTargets(*test.TestDispatch::state, test.fleet.clock.now()).size(), 1);
    test.fleet.clock.advance(3s);
    cr_assert(Queries::listReluctantTargets(*test.TestDispatch::state, test.fleet.clock.now()).empty());
    cr_assert(test.state("2", holdsBack(24h)).heldBackFor == Commands::maximumHoldBack);
    cr_assert_eq(std::get<Lease>(test.acquire("s")).target->entry.id, "1");
    cr_assert_not(test.state("1", holdsBack(0s)).heldBackFor.has_value());
}

// Guards against requests to a target that asked for none: its entry was away for a moment, and what it had asked for was
// forgotten, or cut to a minute.
Test(TargetStatement, aTargetThatHoldsBackIsNotForgottenWhileItsEntryIsAway)
{
    TestTargets test { "1", "2" };
    auto clean = [&] { Commands::removeUnpublishedTargets(*test.TestDispatch::state, test.fleet.clock.now()); };
    cr_expect(test.state("1", holdsBack(75s)).heldBackFor == 75s);
    test.fleet.remove("t/1");
    test.fleet.clock.advance(2s);
    clean();
    test.fleet.publish("t/1", startedTarget("1"));
    test.fleet.clock.advance(72s);
    clean();
    for (int i = 0; i < 4; ++i)
        cr_expect_eq(std::get<Lease>(test.acquire("s")).target->entry.id, "2");
    test.fleet.clock.advance(1s);
    cr_expect(Queries::listReluctantTargets(*test.TestDispatch::state, test.fleet.clock.now()).empty());
    // Afterwards nothing is kept of a target that is gone.
    test.fleet.remove("t/1");
    clean();
    cr_expect(test.TestDispatch::state->withService("s", [](ServiceState& service) { return !service.targets.contains("1"); }));
}

// Guards against a herd of requests at a target as soon as the time for which it held this router back has passed.
Test(TargetStatement, aTargetGetsOneRequestAtATimeUntilItHasServedOne)
{
    TestTargets test { "1" };
    test.state("1", holdsBack(1s));
    test.fleet.clock.advance(1s);
    cr_assert(isLease(test.acquire("s")));
    cr_assert_not(isLease(test.acquire("s")));
    test.release("1", Commands::AttemptResult::Served);
    cr_assert(isLease(test.acquire("s")));
    cr_assert(isLease(test.acquire("s")));
}

// Guards against callers that wait until their deadline, or all return at the same moment, because all targets hold this
// router back.
Test(TargetStatement, callersAreRefusedAtOnceWithTheEarliestEnd)
{
    TestTargets test { "1", "2" };
    test.state("1", holdsBack(4s));
    test.state("2", holdsBack(2s));
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::HeldBack);
    std::set<std::chrono::milliseconds> times;
    for (uint64_t fingerprint = 0; fingerprint < 1000; fingerprint += 50)
        times.insert(test.retryAfter(fingerprint));
    cr_assert_geq(times.size(), 10);
    cr_assert(*times.begin() >= 2s && *times.rbegin() <= 3s);
}
