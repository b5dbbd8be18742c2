#include "Dispatch/EngineReplay.h"

#include <criterion/criterion.h>
#include <limits>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// Callers' share of responses in time at the data centre served worst, and by how much the best exceeds it.
constexpr double leastShare = 0.9;
constexpr double largestDifference = 0.05;
constexpr uint64_t seed = 5;
// Fifty spans. In some of them more engines are slow at the same time than the others can make up for.
constexpr std::chrono::milliseconds replayTime = 30s;

void expectEvenService(const EngineReplay& replay)
{
    double least = 1;
    double most = 0;
    for (auto& result : replay.results) {
        least = std::min(least, result.share());
        most = std::max(most, result.share());
    }
    cr_expect_geq(least, leastShare, "%.3f of the requests of a data centre are in time", least);
    cr_expect_leq(most - least, largestDifference, "%.3f to %.3f of the requests are in time", least, most);
}

} // namespace

// Guards against a data centre that keeps its requests at its own slow engines: it has 2.2 times the demand of the other one,
// and a quarter of its engines are three times slower.
Test(Placement, spillsFromADataCentreWithMoreDemandAndSlowEngines)
{
    EngineReplay replay({ 8, 8 }, { 88, 40 }, seed);
    replay.longShare = 0.3;
    replay.run(replayTime, [&](std::chrono::milliseconds) {
        replay.engines[0].pace = 3;
        replay.engines[1].pace = 3;
    });
    replay.finish();
    expectEvenService(replay);
}

// Guards against unequal service where the data centre with the most engines has the least demand, and engines are 2.5 times
// slower in a share of 0.15 of spans of 600 ms.
Test(Placement, servesUnevenDemandAlike)
{
    EngineReplay replay({ 14, 13, 13 }, { 170, 210, 199 }, seed);
    Base::SeededRandom random(seed);
    replay.run(replayTime, [&](std::chrono::milliseconds elapsed) {
        if (elapsed % 600ms != 0ms)
            return;
        for (auto& engine : replay.engines)
            engine.pace = random.nextFraction() < 0.15 ? 2.5 : 1;
    });
    replay.finish();
    expectEvenService(replay);
}

namespace {

// A router in dc-a with engines there and in dc-b, which report four grants and no other requests.
struct ModelDispatch : TestDispatch {
    std::vector<std::string> ids;

    ModelDispatch(unsigned home, unsigned away, Scheduling::EngineParameters parameters = replayParameters())
    {
        auto service = engineService("e");
        parameters.delays = { { { "dc-a", "dc-b" }, 3ms } };
        service.engineModel = Scheduling::EngineModel::create(parameters);
        fleet.publish("c", configurationOf(1, { service }));
        for (unsigned i = 0; i < home + away; ++i) {
            ids.push_back(std::to_string(i));
            auto engine = engineOf(ids.back(), "e", 1, 12);
            engine.entry.dataCentre = i < home ? "dc-a" : "dc-b";
            fleet.publish("t/" + ids.back(), engine);
        }
        reportAll();
    }

    void reportAll(unsigned running = 0)
    {
        for (auto& id : ids)
            report("e", id, { running, 0, 1, false, 4 });
    }

    // Has one request answered by the target after this time.
    void answer(const Lease& lease, Base::Duration time)
    {
        fleet.clock.advance(time);
        auto& id = lease.target->entry.id;
        Commands::recordFirstPart(*state, "e", id, lease.assignedAt, lease.assignedAt, fleet.clock.now());
        release("e", id);
        reportAll();
    }

    Lease lease(Scheduling::RequestSize size = { 470, 40 })
    {
        auto traits = request("e");
        traits.size = size;
        auto decision = acquire(traits);
        cr_assert(isLease(decision));
        return std::get<Lease>(decision);
    }

    // Of some requests, how many go to the target. Each is released unanswered.
    unsigned countAt(const std::string& id, unsigned requests)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < requests; ++i) {
            auto taken = lease();
            auto& target = taken.target->entry.id;
            count += target == id;
            Commands::recordUnanswered(*state, "e", target, taken.assignedAt);
            release("e", target, Commands::AttemptResult::Abandoned);
            reportAll();
        }
        return count;
    }
};

} // namespace

// Guards against requests behind a long prompt while other engines are idle: by count the engines are alike.
Test(Placement, avoidsAnEngineThatReadsALongPrompt)
{
    ModelDispatch test(2, 0);
    auto longLease = test.lease({ 20000, 40 });
    for (int i = 0; i < 4; ++i)
        cr_assert_neq(test.lease({ 300, 20 }).target->entry.id, longLease.target->entry.id);
}

// Guards against requests to an engine that answers late and says nothing of it, and against one that is avoided for long after
// it is fast again.
Test(Placement, avoidsAnEngineThatAnsweredLateForAShortTime)
{
    ModelDispatch test(4, 0);
    auto first = test.lease();
    auto predicted = first.predicted->nominal.firstEvent;
    test.answer(first, predicted);
    for (int i = 0; i < 8; ++i)
        test.answer(test.lease(), predicted);
    auto slow = test.lease();
    test.answer(slow, 4 * predicted);
    cr_assert_eq(test.countAt(slow.target->entry.id, 40), 0);
    test.fleet.clock.advance(2s);
    test.reportAll();
    cr_assert_geq(test.countAt(slow.target->entry.id, 40), 4);
}

// Guards against an engine that is believed slow for good because it gets no request that would show otherwise.
Test(Placement, probesAnEngineThatIsBelievedSlow)
{
    ModelDispatch test(4, 0);
    auto first = test.lease();
    auto predicted = first.predicted->nominal.firstEvent;
    test.answer(first, predicted);
    for (int i = 0; i < 8; ++i)
        test.answer(test.lease(), predicted);
    auto slow = test.lease();
    test.answer(slow, 20 * predicted);
    auto& id = slow.target->entry.id;
    test.fleet.clock.advance(300ms);
    test.reportAll();
    cr_assert_geq(test.countAt(id, 40), 1);
    TargetReport report { 0, 0, 1, false, 4 };
    report.pace = 3;
    for (int i = 0; i < 20; ++i) {
        test.reportAll();
        test.report("e", id, report);
        auto taken = test.lease();
        cr_assert_neq(taken.target->entry.id, id, "an engine that says that it is slow needs no probe");
        Commands::recordUnanswered(*test.state, "e", taken.target->entry.id, taken.assignedAt);
        test.release("e", taken.target->entry.id, Commands::AttemptResult::Abandoned);
    }
}

// Guards against requests to an engine that says that it is slow, before any of its responses is late.
Test(Placement, avoidsAnEngineThatSaysItIsSlow)
{
    ModelDispatch test(4, 0);
    for (int i = 0; i < 20; ++i) {
        test.reportAll();
        TargetReport report { 0, 0, 1, false, 4 };
        report.pace = 2.5;
        test.report("e", "0", report);
        auto lease = test.lease();
        cr_assert_neq(lease.target->entry.id, "0");
        Commands::recordUnanswered(*test.state, "e", lease.target->entry.id, lease.assignedAt);
        test.release("e", lease.target->entry.id, Commands::AttemptResult::Abandoned);
    }
}

// Guards against a pace that makes no sense and takes an engine out of use, or in.
Test(Placement, ignoresAPaceThatMakesNoSense)
{
    for (double pace : { -5.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), 0.0 }) {
        ModelDispatch test(1, 0);
        TargetReport report { 0, 0, 1, false, 4 };
        report.pace = pace;
        test.report("e", "0", report);
        cr_assert_eq(test.lease().predicted->slowness, 1);
    }
}

// Guards against a model that is wrong by a constant factor and makes those engines look slow that answered last.
Test(Placement, aModelThatIsWrongByAFactorOrdersTargetsTheSame)
{
    ModelDispatch test(4, 0);
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        auto lease = test.lease();
        if (i >= 20)
            used.insert(lease.target->entry.id);
        test.answer(lease, 5 * lease.predicted->nominal.firstEvent);
    }
    cr_assert_eq(used.size(), 4, "%zu of 4 engines are used", used.size());
    cr_assert_lt(test.lease().predicted->slowness, 1.5);
}

// Guards against routers with the same knowledge that all choose the same engine: of ten routers and ten idle engines, one of
// which is a little faster, none may get half of the requests.
Test(Placement, spreadsOverEnginesThatAreAlike)
{
    ModelDispatch test(10, 0);
    for (auto& id : test.ids)
        cr_assert_leq(test.countAt(id, 20), 10);
}

// Guards against requests that leave an idle data centre, and against ones that stay where all free engines are slow.
Test(Placement, leavesTheDataCentreForAMarginOnly)
{
    ModelDispatch test(2, 2);
    auto stayed = test.lease();
    cr_assert_eq(stayed.target->entry.dataCentre, "dc-a");
    cr_assert_not(stayed.spills);
    TargetReport slow { 0, 0, 1, false, 4 };
    slow.pace = 4;
    test.report("e", "0", slow);
    test.report("e", "1", slow);
    auto left = test.lease({ 2000, 40 });
    cr_assert_eq(left.target->entry.dataCentre, "dc-b");
    cr_assert(left.spills);
}

// Guards against predictions from reports that are too old: then only the router's own requests count.
Test(Placement, ignoresOldReports)
{
    ModelDispatch test(1, 0);
    test.reportAll(8);
    auto busy = test.lease().predicted->nominal.finish;
    test.fleet.clock.advance(1500ms);
    Commands::recordUnanswered(*test.state, "e", "0", test.fleet.clock.now() - 1500ms);
    test.release("e", "0", Commands::AttemptResult::Abandoned);
    cr_assert_lt(test.lease().predicted->nominal.finish, busy);
}

// Guards against a prediction where the configuration has no model.
Test(Placement, predictsNothingWithoutAModel)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    auto decision = test.acquire("e");
    cr_assert(isLease(decision));
    cr_assert_not(std::get<Lease>(decision).predicted.has_value());
}
