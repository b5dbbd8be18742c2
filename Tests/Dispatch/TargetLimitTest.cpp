#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/Commands/RecordStatement.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/ListLimitReports.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <deque>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

constexpr auto step = 20ms;
constexpr auto window = 4s;

TargetStatement names(double requestsPerSecond)
{
    return { false, std::nullopt, { StatedLimit::Kind::Named, requestsPerSecond } };
}

// The routers of one data centre before plain targets of service "s", each with a decision state of its own.
struct TestRouters {
    Fleet::TestFleetState fleet;
    std::vector<std::unique_ptr<DispatchState>> routers;
    std::vector<RouterPlace> places;

    explicit TestRouters(unsigned count)
    {
        fleet.clock.advance(1h);
        for (unsigned i = 0; i < count; ++i)
            places.push_back({ "10.0.0." + std::to_string(i + 1), "dc-a", "r-a" });
        for (unsigned i = 0; i < count; ++i) {
            start(i);
            routers[i]->setRouters(places);
        }
    }

    // A router that has just started and knows nothing.
    void start(unsigned index)
    {
        Fleet::NodeSettings settings;
        settings.address = places[index].address;
        settings.dataCentre = "dc-a";
        settings.region = "r-a";
        settings.regionByDataCentre = { { "dc-a", "r-a" } };
        auto state = std::make_unique<DispatchState>(fleet.state, settings, std::make_unique<PowerOfTwoChoicesPolicy>(), std::make_unique<BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(index));
        if (index < routers.size())
            routers[index] = std::move(state);
        else
            routers.push_back(std::move(state));
        routers[index]->setRouters({});
    }

    void publish(const std::string& id, uint64_t startedAt = 1)
    {
        auto target = targetOf(id, "s");
        target.entry.startedAt = startedAt;
        fleet.publish("t/" + id, target);
    }

    RequestTraits request()
    {
        auto route = std::make_shared<Fleet::Route>();
        route->targetLatency = 0ms;
        RequestTraits traits;
        traits.route = route;
        traits.service = "s";
        traits.deadline = fleet.clock.now() + 6s;
        return traits;
    }

    Decision acquire(unsigned router) { return Commands::acquireTarget(*routers[router], request(), std::make_shared<RecordingObserver>(), fleet.clock.now()); }

    // Sends a request that is served at once, with the statement in the response. Returns the target, or nothing if the
    // request was refused.
    std::optional<std::string> serve(unsigned router, const std::function<TargetStatement(const std::string&)>& respond)
    {
        auto now = fleet.clock.now();
        auto decision = acquire(router);
        auto* lease = std::get_if<Lease>(&decision);
        if (!lease)
            return std::nullopt;
        auto& entry = lease->target->entry;
        Commands::recordFirstPart(*routers[router], "s", entry.id, lease->assignedAt, now, now);
        Commands::recordStatement(*routers[router], "s", entry, respond(entry.id), lease->assignedAt, now);
        Commands::releaseTarget(*routers[router], "s", entry.id, Commands::AttemptResult::Served, now);
        return entry.id;
    }
};

// Requests that reached a target.
struct Arrivals {
    std::deque<Base::TimePoint> inWindow;
    size_t most = 0;
    size_t all = 0;

    void add(Base::TimePoint now)
    {
        inWindow.push_back(now);
        while (now - inWindow.front() >= window)
            inWindow.pop_front();
        most = std::max(most, inWindow.size());
        ++all;
    }
};

// Every router tries to send a request every 20 ms. Each router has been told of the limit once before.
Arrivals arrivalsAtTheLimit(TestRouters& test, double limit, std::chrono::seconds duration)
{
    test.publish("1");
    auto& entry = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    for (auto& router : test.routers)
        Commands::recordStatement(*router, "s", entry, names(limit), test.fleet.clock.now(), test.fleet.clock.now());
    Arrivals arrivals;
    for (auto end = test.fleet.clock.now() + duration; test.fleet.clock.now() < end; test.fleet.clock.advance(step)) {
        for (unsigned router = 0; router < test.routers.size(); ++router) {
            if (test.serve(router, [&](auto&) { return names(limit); }))
                arrivals.add(test.fleet.clock.now());
        }
    }
    return arrivals;
}

size_t allowedInWindow(double limit)
{
    return static_cast<size_t>(1.5 * limit * 4 + 5);
}

} // namespace

// Guards against a target that gets more than it takes because each router keeps to the limit by itself, and against a limit
// of which hardly anything is used.
Test(TargetLimit, allRoutersTogetherStayWithinIt)
{
    for (unsigned count : { 1u, 6u, 36u }) {
        for (double limit : { 0.2, 1.0, 2.5, 6.0, 30.0, 100.0 }) {
            TestRouters test(count);
            auto arrivals = arrivalsAtTheLimit(test, limit, 40s);
            cr_expect_leq(arrivals.most, allowedInWindow(limit), "%zu requests in 4 s at %u routers and a limit of %.1f", arrivals.most, count, limit);
            auto demand = static_cast<double>(count) * (1s / step);
            cr_expect_geq(static_cast<double>(arrivals.all), std::min(limit, demand) * 40 / 2, "%zu requests in 40 s at %u routers and a limit of %.1f", arrivals.all, count, limit);
        }
    }
}

// Guards against a second full limit for some time when routers don't see the same routers: a bucket starts empty.
Test(TargetLimit, aRouterThatTakesOverStartsWithoutABurst)
{
    TestRouters test(6);
    arrivalsAtTheLimit(test, 2, 8s);
    unsigned sent = 0;
    for (auto& router : test.routers) {
        // It believes that all others are gone.
        auto alone = std::find_if(test.places.begin(), test.places.end(), [&](auto& place) { return place.address == router->settings().address; });
        router->setRouters({ *alone });
    }
    for (unsigned router = 0; router < 6; ++router)
        sent += test.serve(router, [](auto&) { return names(2); }).has_value();
    cr_assert_leq(sent, 1, "only the router that held the limit before may have a request left");
    test.fleet.clock.advance(400ms);
    for (unsigned router = 0; router < 6; ++router)
        sent += test.serve(router, [](auto&) { return names(2); }).has_value();
    cr_assert_leq(sent, 1);
}

// Guards against routers that go on with an old limit, or with one of an earlier incarnation, and against a response that
// was sent before the limit was named and overtaken.
Test(TargetLimit, followsWhatTheTargetSaysLast)
{
    TestRouters test(1);
    test.publish("1");
    auto entry = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    auto& router = *test.routers[0];
    auto state = [&](const TargetStatement& statement, Base::TimePoint assignedAt) {
        return Commands::recordStatement(router, "s", entry, statement, assignedAt, test.fleet.clock.now()).hasNewLimit;
    };
    auto earlier = test.fleet.clock.now();
    test.fleet.clock.advance(1s);
    cr_assert(state(names(0.5), earlier));
    cr_assert_not(state(names(0.5), earlier));
    cr_assert_not(state({}, earlier), "the response may be older");
    cr_assert_not(isLease(test.acquire(0)));
    test.fleet.clock.advance(1s);
    cr_assert_not(state({ false, std::nullopt, { StatedLimit::Kind::Unreadable, 0 } }, test.fleet.clock.now()));
    cr_assert_not(isLease(test.acquire(0)));
    cr_assert(state(names(10), test.fleet.clock.now()), "it changes");
    test.fleet.clock.advance(100ms);
    cr_assert(isLease(test.acquire(0)));
    cr_assert(state({}, test.fleet.clock.now()), "it ends");
    cr_assert(isLease(test.acquire(0)));
    test.fleet.clock.advance(1s);
    cr_assert(state(names(0), test.fleet.clock.now()));
    cr_assert_not(isLease(test.acquire(0)));
    test.publish("1", 2);
    cr_assert(isLease(test.acquire(0)), "another incarnation is not bound by it");
}

// Guards against a limit that a late response of the incarnation before ends.
Test(TargetLimit, aLateResponseOfAnEarlierIncarnationDoesNotEndIt)
{
    TestRouters test(1);
    test.publish("1");
    auto earlier = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    test.publish("1", 2);
    auto present = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    Commands::recordStatement(*test.routers[0], "s", present, names(0.5), test.fleet.clock.now(), test.fleet.clock.now());
    test.fleet.clock.advance(100ms);
    Commands::recordStatement(*test.routers[0], "s", earlier, {}, test.fleet.clock.now(), test.fleet.clock.now());
    cr_assert_not(isLease(test.acquire(0)));
}

// Guards against a target that wants no requests and is never asked again whether that still holds.
Test(TargetLimit, aTargetThatWantsNoneIsAskedOnceAMinute)
{
    TestRouters test(6);
    auto arrivals = arrivalsAtTheLimit(test, 0, 180s);
    cr_assert_geq(arrivals.all, 2);
    cr_assert_leq(arrivals.all, 3);
}

// Guards against routers that each learn of a limit by requests of their own, and against one that has just started.
Test(TargetLimit, routersLearnItFromEachOther)
{
    TestRouters test(2);
    test.publish("1");
    auto entry = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    Commands::recordStatement(*test.routers[0], "s", entry, names(0.5), test.fleet.clock.now(), test.fleet.clock.now());
    test.fleet.clock.advance(300ms);
    auto reports = Queries::listLimitReports(*test.routers[0], test.fleet.clock.now());
    cr_assert_eq(reports.size(), 1);
    cr_assert_eq(reports.front().age / 1ms, 300);
    test.start(1);
    Commands::mergeLimitReports(*test.routers[1], reports, test.fleet.clock.now());
    test.fleet.clock.advance(30s);
    cr_assert_not(isLease(test.acquire(1)), "it does not know the other routers yet");
    // What is older than the own knowledge is ignored.
    Commands::recordStatement(*test.routers[1], "s", entry, {}, test.fleet.clock.now(), test.fleet.clock.now());
    Commands::mergeLimitReports(*test.routers[1], reports, test.fleet.clock.now());
    cr_assert(isLease(test.acquire(1)));
    // The end of a limit is told too, and an earlier incarnation is not taken for the present one.
    auto ended = Queries::listLimitReports(*test.routers[1], test.fleet.clock.now());
    cr_assert_not(ended.front().requestsPerSecond.has_value());
    auto old = reports;
    old.front().incarnation = 0;
    old.front().age = 0ms;
    Commands::mergeLimitReports(*test.routers[1], old, test.fleet.clock.now());
    cr_assert(isLease(test.acquire(1)));
}

// Guards against load that waits for a limited target while others are free, and against callers that are kept waiting if
// all targets are limited.
Test(TargetLimit, theRestOfTheLoadGoesElsewhereOrIsRefusedAtOnce)
{
    TestRouters test(3);
    test.publish("1");
    test.publish("2");
    auto respond = [](const std::string& id) { return id == "1" ? names(1) : TargetStatement {}; };
    unsigned served = 0;
    for (unsigned i = 0; i < 300; ++i) {
        served += test.serve(i % 3, respond).has_value();
        test.fleet.clock.advance(step);
    }
    cr_assert_eq(served, 300);
    auto entry = test.fleet.snapshot()->targetsByService.at("s").back()->entry;
    for (auto& target : test.fleet.snapshot()->targetsByService.at("s")) {
        for (auto& router : test.routers)
            Commands::recordStatement(*router, "s", target->entry, names(1), test.fleet.clock.now(), test.fleet.clock.now());
    }
    unsigned refused = 0;
    for (unsigned router = 0; router < 3; ++router) {
        auto decision = test.acquire(router);
        auto* refusal = std::get_if<Refusal>(&decision);
        refused += refusal != nullptr;
        if (refusal)
            cr_expect(refusal->retryAfter >= 500ms && refusal->retryAfter <= 3s);
    }
    cr_assert_eq(refused, 3, "no router has a request left");
}

// Guards against repeats that pass by the limit.
Test(TargetLimit, repeatsAndInterruptedRequestsCount)
{
    TestRouters test(1);
    test.publish("1");
    auto entry = test.fleet.snapshot()->targetsByService.at("s").front()->entry;
    Commands::recordStatement(*test.routers[0], "s", entry, names(0.1), test.fleet.clock.now(), test.fleet.clock.now());
    auto repeated = Commands::acquireForRetry(*test.routers[0], test.request(), false, std::make_shared<RecordingObserver>(), test.fleet.clock.now());
    cr_assert_not(isLease(repeated));
    auto interrupted = test.request();
    interrupted.isInterrupted = true;
    cr_assert_not(isLease(Commands::acquireForRetry(*test.routers[0], interrupted, false, std::make_shared<RecordingObserver>(), test.fleet.clock.now())));
}
