#include "Peering/StoreFollower.h"
#include "Fleet/FleetFixture.h"
#include "Http/NodeServer.h"
#include "Http/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

namespace {

constexpr unsigned historyLostStatus = 410;

// Encodes each request as a path. The test provides the listing and the changes.
class ScriptedProtocol final : public Fleet::StoreProtocol {
public:
    // Changes by response body.
    std::map<std::string, Fleet::ChangeBatch> changes;
    Fleet::ListPage listing;

    Http::HttpRequest listRequest(const std::string&) const override { return get("/list"); }
    Base::Result<Fleet::ListPage, Fleet::StoreError> readList(const Http::HttpResponse& response) const override
    {
        if (response.status != 200)
            return Fleet::StoreError { Fleet::StoreErrorKind::Refused, "rejected", "retry" };
        return listing;
    }

    Http::HttpRequest watchRequest(uint64_t afterRevision, std::chrono::milliseconds) const override { return get("/watch/" + std::to_string(afterRevision)); }
    Base::Result<Fleet::ChangeBatch, Fleet::StoreError> readChanges(const Http::HttpResponse& response) const override
    {
        if (response.status == historyLostStatus)
            return Fleet::StoreError { Fleet::StoreErrorKind::HistoryLost, "history lost", "list all items again" };
        auto found = changes.find(response.body);
        if (response.status != 200 || found == changes.end())
            return Fleet::StoreError { Fleet::StoreErrorKind::Refused, "rejected", "retry" };
        return found->second;
    }

private:
    static Http::HttpRequest get(const std::string& target)
    {
        Http::HttpRequest request;
        request.target = target;
        return request;
    }
};

// A follower and a fake store. The test chooses each response and ends the run.
struct TestFollower {
    using Responder = std::function<Http::HttpResponse(const std::string& target)>;

    boost::asio::io_context context;
    Fleet::TestFleetState fleet;
    ScriptedProtocol protocol;
    ItemMerger merger { fleet.state, fleet.decoder, fleet.clock };
    Base::StallMonitor stalls { fleet.clock, 50ms };
    std::vector<std::string> requests;
    Responder respond;
    // Time until the fake store responds.
    std::chrono::milliseconds responseDelay { 0 };
    std::shared_ptr<Http::NodeServer> server;
    std::unique_ptr<StoreFollower> follower;

    TestFollower()
    {
        fleet.clock.advance(1h);
        stalls.tick();
        server = Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) -> boost::asio::awaitable<Http::HttpResponse> {
            requests.push_back(request.target);
            co_await Http::sleepFor(context, responseDelay);
            auto response = respond(request.target);
            co_return response;
        });
        follower = std::make_unique<StoreFollower>(context, Http::Endpoint { "127.0.0.1", server->port() }, protocol, merger, fleet.clock, stalls);
    }

    // Time passes while the event loop runs, so that it does not count as stalled.
    void advanceWithTicks(std::chrono::milliseconds time)
    {
        for (constexpr auto step = 50ms; time > 0ms; time -= step) {
            fleet.clock.advance(step);
            stalls.tick();
        }
    }

    void run(std::function<bool()> isNeeded)
    {
        boost::asio::co_spawn(context, follower->run(std::move(isNeeded)), boost::asio::detached);
        context.run();
    }
};

const Http::HttpResponse rejected { 503, {}, "" };
const Http::HttpResponse historyLost { historyLostStatus, {}, "" };
// The client can't read it, so the request fails as it does on a connection that breaks or falls silent.
const Http::HttpResponse unreadable { 200, { { "not a name", "" } }, "" };

} // namespace

// Guards against weights that count as outdated as soon as the store recovers. Nothing is declared during an outage,
// so its duration must not be added to the age of a declaration.
Test(StoreFollower, excludesAnOutageFromTheAgeOfAChange)
{
    TestFollower test;
    test.protocol.listing.position = 1;
    Fleet::PublishedItem declaration { "w", "2", 2, false, {} };
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.changes["declared"] = { { declaration }, 2 };
    unsigned rejections = 0;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        if (rejections++ < 2) {
            test.fleet.clock.advance(8s);
            return rejected;
        }
        test.context.stop();
        return { 200, {}, "declared" };
    };
    test.run([] { return true; });
    test.context.restart();
    while (test.fleet.snapshot()->weights.empty())
        test.context.run_one();
    auto age = test.fleet.clock.now() - test.fleet.snapshot()->weights.at("m").back().publishedAt;
    cr_assert_leq(std::chrono::duration_cast<std::chrono::milliseconds>(age).count(), 1200);
}

// Guards against requests to the store by a router to which other nodes relay the items, and against a complete listing
// when that router takes over following the store.
Test(StoreFollower, continuesFromTheRelayedRevision)
{
    TestFollower test;
    test.protocol.listing.position = 1;
    bool isNeeded = true;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list") {
            isNeeded = false;
            return { 200, {}, "" };
        }
        test.context.stop();
        return rejected;
    };
    unsigned checks = 0;
    test.run([&] {
        // Another node relays revision 7 before the store is needed again.
        if (!isNeeded && ++checks == 3) {
            test.fleet.apply({ "t/1", "", 7, false, {} });
            isNeeded = true;
        }
        return isNeeded;
    });
    cr_assert_eq(test.requests.size(), 2);
    cr_assert_eq(test.requests.back(), "/watch/7");
}

// Guards against a router that reports to follow the store although the store rejects its requests.
Test(StoreFollower, isNotSyncedWhileTheStoreRejectsRequests)
{
    TestFollower test;
    test.protocol.listing.position = 1;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        cr_expect(test.requests.size() > 2 || test.follower->syncedAt().has_value());
        if (test.requests.size() < 3)
            return rejected;
        cr_expect_not(test.follower->syncedAt().has_value());
        test.context.stop();
        return rejected;
    };
    test.run([] { return true; });
    cr_assert_eq(test.requests.size(), 3);
}

// Guards against weights that count as outdated because a router which has just started lists the declaration, does not
// know its age, and relays it before the other nodes receive it from the store.
Test(ItemMerger, limitsTheAgeRelayedByANewlyStartedNode)
{
    TestFollower started;
    TestFollower other;
    Fleet::PublishedItem declaration { "w", "2", 2, false, {} };
    started.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    other.fleet.decoder = started.fleet.decoder;
    declaration.age = Fleet::FleetState::unknownAge;
    declaration.ageIsBound = true;
    started.merger.apply({ declaration }, 2, std::nullopt, "store");
    other.merger.recordSync(other.fleet.clock.now(), "store");
    other.fleet.clock.advance(8s);
    other.merger.recordStoreFailure(other.fleet.clock.now());
    other.fleet.clock.advance(500ms);
    other.merger.apply(Fleet::Queries::itemsAfter(started.fleet.state, 0, started.fleet.clock.now()), 2, std::nullopt, "10.0.0.1");
    auto ageAt = [](TestFollower& node) {
        auto age = node.fleet.clock.now() - node.fleet.snapshot()->weights.at("m").back().publishedAt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    };
    cr_assert_eq(ageAt(other), 500);
    cr_assert_geq(ageAt(started), 3600 * 1000, "it must not use outdated weights");
    // An exact age is used unchanged.
    TestFollower third;
    third.fleet.decoder = started.fleet.decoder;
    third.merger.recordSync(third.fleet.clock.now(), "store");
    third.fleet.clock.advance(100ms);
    declaration.age = 500ms;
    declaration.ageIsBound = false;
    third.merger.apply({ declaration }, 2, std::nullopt, "10.0.0.2");
    cr_assert_eq(ageAt(third), 500);
}

// Guards against requests to a removed target if the store had rejected this node just before the removal: the deletion
// looked like an entry that expired during an outage, and the target was kept for another two seconds.
Test(StoreFollower, defersNoDeletionIfOtherNodesReachedTheStore)
{
    for (bool othersReachedStore : { true, false }) {
        TestFollower test;
        test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
        test.protocol.listing = { Fleet::Queries::itemsAfter(test.fleet.state, 0, test.fleet.clock.now()), false, 1 };
        test.protocol.changes["removed"] = { { { "t/1", "", 2, true, {} } }, 2 };
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list")
                return { 200, {}, "" };
            if (test.requests.size() == 2) {
                test.fleet.clock.advance(8s);
                if (othersReachedStore)
                    test.merger.recordRelayedSync(test.fleet.clock.now(), true, "10.0.0.1");
                return rejected;
            }
            test.context.stop();
            return { 200, {}, "removed" };
        };
        test.run([] { return true; });
        test.context.restart();
        while (Fleet::Queries::knownPosition(test.fleet.state) < 2)
            test.context.run_one();
        cr_assert_eq(test.fleet.targetCount("s"), othersReachedStore ? 0 : 1);
    }
}

// Guards against outdated weights that look recent: a router that has just started lists a declaration of unknown age,
// learns that it has all items of the store follower, and then receives the same declaration from another router.
Test(ItemMerger, aKnownDeclarationIsNoMoreRecentThanItsFirstListing)
{
    TestFollower started;
    Fleet::PublishedItem declaration { "w", "2", 2, false, {} };
    started.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    declaration.age = Fleet::FleetState::unknownAge;
    declaration.ageIsBound = true;
    started.merger.apply({ declaration }, 2, std::nullopt, "store");
    started.merger.recordSync(started.fleet.clock.now(), "store");
    started.fleet.clock.advance(200ms);
    started.merger.recordRelayedSync(started.fleet.clock.now(), true, "10.0.0.1");
    started.merger.apply({ declaration }, 2, std::nullopt, "10.0.0.1");
    auto age = started.fleet.clock.now() - started.fleet.snapshot()->weights.at("m").back().publishedAt;
    cr_assert_geq(std::chrono::duration_cast<std::chrono::seconds>(age).count(), 3600, "the declaration may be that old");
}

// Guards against outdated weights that look recent after the store discarded its history: the follower lists all items
// again, among them a declaration whose age it never knew.
Test(StoreFollower, aSecondListingDoesNotMakeADeclarationMoreRecent)
{
    TestFollower test;
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.listing = { { { "w", "2", 2, false, {} } }, false, 2 };
    unsigned listings = 0;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list" && ++listings == 2)
            test.context.stop();
        if (target == "/list")
            return { 200, {}, "" };
        test.fleet.clock.advance(1s);
        return historyLost;
    };
    test.run([] { return true; });
    test.context.restart();
    while (!test.fleet.snapshot()->weights.contains("m") || !test.follower->syncedAt() || *test.follower->syncedAt() < test.fleet.clock.now())
        test.context.run_one();
    auto age = test.fleet.clock.now() - test.fleet.snapshot()->weights.at("m").back().publishedAt;
    cr_assert_geq(std::chrono::duration_cast<std::chrono::seconds>(age).count(), 3600);
}

// Guards against outdated weights that look recent because the follower's VM was suspended while the store's response
// waited: the change was relayed as just observed, and an exact age is never corrected.
Test(StoreFollower, aChangeThatWaitedDuringAStallHasNoExactAge)
{
    for (bool isSuspended : { true, false }) {
        TestFollower test;
        test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        test.protocol.listing.position = 1;
        test.protocol.changes["none"] = { {}, 1 };
        test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list")
                return { 200, {}, "" };
            if (test.requests.size() == 2)
                return { 200, {}, "none" };
            if (test.requests.size() > 3)
                return { 200, {}, "none" };
            test.fleet.clock.advance(isSuspended ? 5000ms : 100ms);
            test.context.stop();
            return { 200, {}, "declared" };
        };
        test.run([] { return true; });
        test.context.restart();
        // The second response after the change shows how long the store takes.
        while (test.requests.size() < 5)
            test.context.run_one();
        auto declared = test.fleet.snapshot()->weights.at("m").back();
        cr_assert_eq(declared.publishedAtIsLowerBound, isSuspended);
        if (isSuspended)
            cr_assert_geq(std::chrono::duration_cast<std::chrono::milliseconds>(test.fleet.clock.now() - declared.publishedAt).count(), 5000);
    }
}

// Guards against outdated weights that look recent because the connection to the store fell silent: a declaration made
// while the follower waited for the timeout counted as made after it.
Test(StoreFollower, aChangeDuringASilentConnectionIsAsOldAsTheRequest)
{
    TestFollower test;
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.listing.position = 1;
    test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        if (test.requests.size() == 2) {
            test.fleet.clock.advance(2600ms);
            return unreadable;
        }
        test.context.stop();
        return { 200, {}, "declared" };
    };
    test.run([] { return true; });
    test.context.restart();
    while (test.fleet.snapshot()->weights.empty())
        test.context.run_one();
    auto declared = test.fleet.snapshot()->weights.at("m").back();
    cr_assert(declared.publishedAtIsLowerBound);
    cr_assert_geq((test.fleet.clock.now() - declared.publishedAt) / 1ms, 2600);
}

// Guards against outdated weights that look recent because a router relied on a store follower whose connection to the
// store had fallen silent: what that follower did not have counted as known.
Test(StoreFollower, aChangeThatWasNotRelayedIsAsOldAsTheLastRelayedSync)
{
    TestFollower test;
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
    test.merger.recordRelayedSync(test.fleet.clock.now(), true, "10.0.0.1");
    test.respond = [&](const std::string&) -> Http::HttpResponse {
        test.context.stop();
        return { 200, {}, "declared" };
    };
    unsigned checks = 0;
    test.run([&] {
        if (++checks == 1)
            test.fleet.clock.advance(2900ms);
        return checks > 1;
    });
    test.context.restart();
    while (test.fleet.snapshot()->weights.empty())
        test.context.run_one();
    auto declared = test.fleet.snapshot()->weights.at("m").back();
    cr_assert_geq((test.fleet.clock.now() - declared.publishedAt) / 1ms, 2900);
}

// Guards against outdated weights that look recent because they were declared between the first page of a listing and
// the last: the listing counted as complete up to its end.
Test(StoreFollower, aChangeDuringAListingIsAsOldAsItsFirstPage)
{
    TestFollower test;
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        bool isFirstPage = test.requests.size() == 1;
        test.protocol.listing = { { { isFirstPage ? "a" : "z", "", 1, false, {} } }, isFirstPage, 1 };
        if (!isFirstPage && target == "/list")
            test.advanceWithTicks(1200ms);
        if (target == "/list")
            return { 200, {}, "" };
        test.context.stop();
        return { 200, {}, "declared" };
    };
    test.run([] { return true; });
    test.context.restart();
    while (test.fleet.snapshot()->weights.empty())
        test.context.run_one();
    auto declared = test.fleet.snapshot()->weights.at("m").back();
    cr_assert_geq((test.fleet.clock.now() - declared.publishedAt) / 1ms, 1200);
}

// Guards against a listing that never ends: the next page is requested behind the last key of the previous one, and a
// store that does not know this key, or ignores it, sent the same page again and again. What is known stays in force.
Test(StoreFollower, backsOffIfTheNextPageIsTheSame)
{
    TestFollower test;
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    test.protocol.listing = { { { "a", "", 1, false, {} }, { "b", "", 2, false, {} } }, true, 9 };
    constexpr size_t requestsOfTwoListings = 4;
    auto startedAt = std::chrono::steady_clock::now();
    test.respond = [&](const std::string&) -> Http::HttpResponse {
        if (test.requests.size() == requestsOfTwoListings)
            test.context.stop();
        return { 200, {}, "" };
    };
    test.run([] { return true; });
    cr_assert_geq((std::chrono::steady_clock::now() - startedAt) / 1ms, 100, "the second listing must wait");
    cr_assert_eq(test.fleet.targetCount("s"), 1);
    cr_assert_not(test.follower->syncedAt().has_value());
}

// Guards against the removal of all targets that are not on a page from which no item could be read although more pages
// follow.
Test(StoreFollower, keepsWhatIsKnownIfAPageHasNoItems)
{
    TestFollower test;
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    test.protocol.listing = { {}, true, 9 };
    test.respond = [&](const std::string&) -> Http::HttpResponse {
        if (test.requests.size() == 2)
            test.context.stop();
        return { 200, {}, "" };
    };
    test.run([] { return true; });
    cr_assert_eq(test.fleet.targetCount("s"), 1);
}

// Guards against the end of a listing at an unreadable item, and against the use of its previous value.
Test(StoreFollower, listsTheItemsBesideAnUnreadableOne)
{
    TestFollower test;
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    test.fleet.decoder.publications["t/1=odd"] = Fleet::Unreadable { "odd" };
    test.fleet.decoder.publications["t/2=2"] = Fleet::targetOf("2", "s");
    test.protocol.listing = { { { "t/1", "odd", 5, false, {} }, { "t/2", "2", 6, false, {} } }, false, 9 };
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target != "/list")
            test.context.stop();
        return { 200, {}, "" };
    };
    test.run([] { return true; });
    cr_assert_eq(test.fleet.targetCount("s"), 1);
    cr_assert_eq(test.fleet.snapshot()->targetsByService.at("s").front()->entry.id, "2");
}

// Guards against requests on old weights because the store was slow: a change that took long to arrive counted as just
// made, and its time as exact.
Test(StoreFollower, aSlowResponseDoesNotMakeADeclarationMoreRecent)
{
    for (auto responseTime : { 200ms, 350ms, 800ms }) {
        TestFollower test;
        test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        test.protocol.listing.position = 1;
        test.protocol.changes["none"] = { {}, 1 };
        test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
        Base::TimePoint declaredAt;
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list")
                return { 200, {}, "" };
            if (test.requests.size() == 2)
                return { 200, {}, "none" };
            if (test.requests.size() == 3)
                declaredAt = test.fleet.clock.now();
            test.advanceWithTicks(responseTime);
            return { 200, {}, test.requests.size() == 3 ? "declared" : "none" };
        };
        boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
        while (test.requests.size() < 5)
            test.context.run_one();
        auto declared = test.fleet.snapshot()->weights.at("m").back();
        cr_assert_leq(declared.publishedAt.time_since_epoch().count(), declaredAt.time_since_epoch().count());
        cr_assert_leq((declaredAt - declared.publishedAt) / 1ms, 1000, "not much older than it is either");
        test.context.stop();
    }
}

// Guards against items that count as complete up to the arrival of a response that was sent long before: a declaration
// made meanwhile would look more recent than it is.
Test(StoreFollower, aLateResponseWithoutChangesIsAsOldAsItsWait)
{
    TestFollower test;
    test.protocol.listing.position = 1;
    test.protocol.changes["none"] = { {}, 1 };
    Base::TimePoint requestedAt;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        if (test.requests.size() == 2) {
            requestedAt = test.fleet.clock.now();
            test.advanceWithTicks(1600ms + 400ms);
        }
        return { 200, {}, "none" };
    };
    boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
    while (test.requests.size() < 3)
        test.context.run_one();
    cr_assert_eq((*test.follower->syncedAt() - requestedAt) / 1ms, 1600);
}

// Guards against a router that never follows a store which is slow and sound: each request was given up shortly before
// its response, on a new connection.
Test(StoreFollower, followsASlowStore)
{
    TestFollower test;
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.listing.position = 1;
    test.protocol.changes["declared"] = { { { "w", "2", 2, false, {} } }, 2 };
    // Longer than the timeout of a listing, and than a watch waits, plus its margin.
    test.responseDelay = 1700ms;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target != "/list")
            return { 200, {}, "declared" };
        test.responseDelay = 2800ms;
        return { 200, {}, "" };
    };
    boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
    auto until = std::chrono::steady_clock::now() + 15s;
    while (test.fleet.snapshot()->weights.empty() && std::chrono::steady_clock::now() < until)
        test.context.run_one_for(50ms);
    cr_assert_not(test.fleet.snapshot()->weights.empty());
}

// Guards against requests that are denied by an older configuration: a response that was on its way for long, because it
// was large or the store slow, counted as sent when it arrived, by the response time of an earlier one.
Test(StoreFollower, aLateResponseDoesNotVouchForWhatWasPublishedMeanwhile)
{
    TestFollower test;
    test.protocol.listing.position = 1;
    test.protocol.changes["none"] = { {}, 1 };
    test.protocol.changes["changed"] = { { { "t/1", "", 2, false, {} } }, 2 };
    Base::TimePoint sentAt;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        // Shows a short response time.
        if (test.requests.size() == 2) {
            test.advanceWithTicks(1600ms);
            return { 200, {}, "none" };
        }
        sentAt = test.fleet.clock.now();
        test.advanceWithTicks(3800ms);
        return { 200, {}, "changed" };
    };
    boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
    while (Fleet::Queries::knownPosition(test.fleet.state) < 2)
        test.context.run_one();
    auto now = test.fleet.clock.now();
    cr_expect(*test.follower->syncedAt() <= sentAt, "other routers are told");
    cr_expect(Fleet::Queries::mayBeOutdated(test.fleet.state, 2250ms, now), "a configuration of the last 3.8 s may be missing");
}

// Guards against requests on old weights: a declaration that came beside a large change, in a response that was on its way
// for long, counted as just made, because the small response after it came at once.
Test(StoreFollower, aDeclarationInALargeResponseHasNoExactTime)
{
    constexpr size_t largeBytes = 200 * 1024;
    for (bool isLarge : { true, false }) {
        TestFollower test;
        test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        test.protocol.listing.position = 1;
        std::string declared(isLarge ? largeBytes : 1, 'd');
        test.protocol.changes["none"] = { {}, 1 };
        test.protocol.changes[declared] = { { { "w", "2", 2, false, {} } }, 2 };
        Base::TimePoint declaredAt;
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list")
                return { 200, {}, "" };
            if (test.requests.size() != 3)
                return { 200, {}, "none" };
            declaredAt = test.fleet.clock.now();
            test.advanceWithTicks(isLarge ? 1500ms : 0ms);
            return { 200, {}, declared };
        };
        boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
        while (test.requests.size() < 5)
            test.context.run_one();
        auto known = test.fleet.snapshot()->weights.at("m").back();
        cr_expect_eq(known.publishedAtIsLowerBound, isLarge);
        cr_expect_leq(known.publishedAt.time_since_epoch().count(), declaredAt.time_since_epoch().count());
        test.context.stop();
    }
}

// Guards against a late response of the earlier era, from a connection that was slow or led to the store as it was before:
// it must neither undo what is known nor count as contact with the store.
Test(StoreFollower, ignoresAWatchResponseOfAnEarlierEra)
{
    TestFollower test;
    test.protocol.listing.position = { 1, 5 };
    test.fleet.decoder.publications["c=old"] = Fleet::configurationOf(9);
    test.protocol.changes["old"] = { { { "c", "old", { 1, 60 }, false, {} } }, { 1, 60 } };
    Base::TimePoint requestedAt;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        if (test.requests.size() == 2) {
            // Another node relays an item of the next era meanwhile.
            test.fleet.clock.advance(1s);
            requestedAt = test.fleet.clock.now();
            test.fleet.publishAt("c", Fleet::configurationOf(3), { 2, 4 });
            return { 200, {}, "old" };
        }
        test.context.stop();
        return rejected;
    };
    test.run([] { return true; });
    cr_assert_eq(test.fleet.snapshot()->configuration->version, 3);
    cr_assert_eq(test.requests.back(), "/watch/4", "it goes on from what was relayed");
    cr_assert(Fleet::Queries::completeness(test.fleet.state)->asOf < requestedAt);
    cr_assert_not(test.follower->syncedAt().has_value());
}

// Guards against the removal of all that the listing of an earlier era lacks.
Test(StoreFollower, ignoresAListingOfAnEarlierEra)
{
    TestFollower test;
    test.fleet.publishAt("t/1", Fleet::targetOf("1", "s"), { 2, 4 });
    test.protocol.listing = { {}, false, { 1, 90 } };
    test.respond = [&](const std::string&) -> Http::HttpResponse {
        if (test.requests.size() == 2)
            test.context.stop();
        return { 200, {}, "" };
    };
    test.run([] { return true; });
    cr_assert_eq(test.requests.back(), "/list");
    cr_assert_eq(test.fleet.targetCount("s"), 1);
    cr_assert_not(test.follower->syncedAt().has_value());
    cr_assert_not(Fleet::Queries::completeness(test.fleet.state).has_value());
}

// Guards against a listing that is a mixture of what the store had before and after its return: what is only on the pages
// before would stay.
Test(StoreFollower, startsAListingAgainIfItsPagesAreOfTwoEras)
{
    TestFollower test;
    test.fleet.decoder.publications["a/t/1=1"] = Fleet::targetOf("1", "s");
    test.fleet.decoder.publications["z/t/2=2"] = Fleet::targetOf("2", "s");
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        Fleet::PublishedItem first { "a/t/1", "1", { 1, 3 }, false, {} };
        Fleet::PublishedItem second { "z/t/2", "2", { 2, 2 }, false, {} };
        if (test.requests.size() == 1)
            test.protocol.listing = { { first }, true, { 1, 3 } };
        else
            test.protocol.listing = { { second }, false, { 2, 2 } };
        if (test.requests.size() == 3)
            cr_expect(test.fleet.snapshot()->targetsByService.empty());
        if (target != "/list")
            test.context.stop();
        return { 200, {}, "" };
    };
    test.run([] { return true; });
    std::vector<std::string> expected { "/list", "/list", "/list", "/watch/2" };
    cr_assert(test.requests == expected);
    cr_assert_eq(test.fleet.snapshot()->targetsByService.at("s").front()->entry.id, "2");
    cr_assert_eq(test.fleet.targetCount("s"), 1);
}

// Guards against changes of the new era that are taken for all that changed since a revision of the earlier one: what the
// copy lacks or shows otherwise was never learned.
Test(StoreFollower, listsAgainIfAWatchIsAnsweredInALaterEra)
{
    TestFollower test;
    test.fleet.decoder.publications["c=2"] = Fleet::configurationOf(2);
    test.fleet.decoder.publications["c=3"] = Fleet::configurationOf(3);
    test.protocol.changes["new"] = { { { "c", "3", { 2, 12 }, false, {} } }, { 2, 12 } };
    test.protocol.listing = { { { "c", "2", { 1, 9 }, false, {} } }, false, { 1, 10 } };
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (test.requests.size() == 3) {
            cr_expect_eq(test.fleet.snapshot()->configuration->version, 2, "the listing comes first");
            test.protocol.listing = { { { "c", "3", { 2, 12 }, false, {} } }, false, { 2, 12 } };
        }
        if (test.requests.size() == 4)
            test.context.stop();
        return { 200, {}, target == "/list" ? "" : "new" };
    };
    test.run([] { return true; });
    std::vector<std::string> expected { "/list", "/watch/10", "/list", "/watch/12" };
    cr_assert(test.requests == expected);
    cr_assert_eq(test.fleet.snapshot()->configuration->version, 3);
}

// Guards against targets without entries after the store has forgotten the revision to continue from, and after it has
// returned twice: each listing keeps the targets that it lacks until they had time to be written again.
Test(StoreFollower, keepsWhatTheCopiesLackWhenTheStoreReturnsTwice)
{
    TestFollower test;
    test.fleet.decoder.publications["t/1=1"] = Fleet::targetOf("1", "s");
    test.fleet.decoder.publications["c=7"] = Fleet::configurationOf(7);
    test.fleet.decoder.publications["c=5"] = Fleet::configurationOf(5);
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (test.requests.size() == 1)
            test.protocol.listing = { { { "c", "7", { 0, 9 }, false, {} }, { "t/1", "1", { 0, 8 }, false, {} } }, false, { 0, 10 } };
        else if (test.requests.size() == 3)
            test.protocol.listing = { { { "c", "5", { 1, 4 }, false, {} } }, false, { 1, 5 } };
        else
            test.protocol.listing = { {}, false, { 2, 3 } };
        if (test.requests.size() == 6)
            test.context.stop();
        return target == "/list" ? Http::HttpResponse { 200, {}, "" } : historyLost;
    };
    test.run([] { return true; });
    std::vector<std::string> expected { "/list", "/watch/10", "/list", "/watch/5", "/list", "/watch/3" };
    cr_assert(test.requests == expected);
    cr_assert(Fleet::Queries::knownPosition(test.fleet.state) == Fleet::StorePosition(2, 3));
    cr_assert_eq(test.fleet.snapshot()->configuration->version, 7);
    cr_assert_eq(test.fleet.targetCount("s"), 1);
    test.fleet.clock.advance(1901ms);
    Fleet::Commands::expireDeletions(test.fleet.state, test.fleet.clock.now());
    cr_assert_eq(test.fleet.targetCount("s"), 0);
}

// Guards against a store whose era falls back, or that stops to send it: it is ignored until its era is the known one again
// or higher.
Test(StoreFollower, ignoresTheStoreWhileItsEraIsLower)
{
    for (uint64_t lowerEra : { 2, 0 }) {
        TestFollower test;
        test.fleet.decoder.publications["c=4"] = Fleet::configurationOf(4);
        test.fleet.decoder.publications["c=5"] = Fleet::configurationOf(5);
        test.fleet.decoder.publications["c=6"] = Fleet::configurationOf(6);
        test.protocol.changes["fallen"] = { { { "c", "5", { lowerEra, 99 }, false, {} } }, { lowerEra, 99 } };
        test.protocol.listing = { { { "c", "4", { 3, 8 }, false, {} } }, false, { 3, 9 } };
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list" && test.requests.size() > 1)
                test.protocol.listing = { { { "c", "6", { 4, 2 }, false, {} } }, false, { 4, 3 } };
            if (test.requests.size() == 4) {
                cr_expect_eq(test.fleet.snapshot()->configuration->version, 4);
                test.protocol.changes["higher"] = { {}, { 4, 3 } };
                return { 200, {}, "higher" };
            }
            if (test.requests.size() == 6)
                test.context.stop();
            return { 200, {}, target == "/list" ? "" : "fallen" };
        };
        test.run([] { return true; });
        std::vector<std::string> expected { "/list", "/watch/9", "/watch/9", "/watch/9", "/list", "/watch/3" };
        cr_assert(test.requests == expected);
        cr_assert_eq(test.fleet.snapshot()->configuration->version, 6);
    }
}

// Guards against a new router that takes over with a revision of an earlier era after the others relayed the change.
Test(StoreFollower, takesOverFromTheEraThatOthersRelayed)
{
    TestFollower test;
    test.protocol.listing.position = { 1, 50 };
    bool isNeeded = true;
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list") {
            isNeeded = false;
            return { 200, {}, "" };
        }
        test.context.stop();
        return rejected;
    };
    unsigned checks = 0;
    test.run([&] {
        if (!isNeeded && ++checks == 3) {
            test.fleet.publishAt("t/1", Fleet::targetOf("1", "s"), { 2, 7 });
            isNeeded = true;
        }
        return isNeeded;
    });
    cr_assert_eq(test.requests.back(), "/watch/7");
}

// Guards against outdated weights that look recent: the store was up although its response was not used, so that a
// declaration may have been made at any time since the last sync.
Test(StoreFollower, anIgnoredResponseDoesNotLimitTheAgesOfItems)
{
    for (bool isMixed : { true, false }) {
        TestFollower test;
        test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        test.fleet.publishAt("t/1", Fleet::targetOf("1", "s"), { 1, 4 });
        test.merger.recordSync(test.fleet.clock.now(), "store");
        test.fleet.clock.advance(5s);
        test.respond = [&](const std::string& target) -> Http::HttpResponse {
            uint64_t firstEra = isMixed ? 1 : 0;
            if (test.requests.size() == 1)
                test.protocol.listing = { { { "t/1", "", { firstEra, 4 }, false, {} } }, isMixed, { firstEra, 4 } };
            else
                test.protocol.listing = { { { "w", "2", { 2, 3 }, false, {} } }, false, { 2, 3 } };
            if (target != "/list")
                test.context.stop();
            return { 200, {}, "" };
        };
        test.run([] { return true; });
        auto age = test.fleet.clock.now() - test.fleet.snapshot()->weights.at("m").back().publishedAt;
        cr_assert_geq(age / 1ms, 5000);
    }
}

// Guards against a configuration that a router never receives and yet counts as known: while the store dropped its history,
// a watch ended without changes and named a revision that included one, and the next watch began after it.
Test(StoreFollower, aResponseWithoutChangesSkipsNone)
{
    TestFollower test;
    test.fleet.decoder.publications["t/1=a"] = Fleet::targetOf("1", "s");
    test.protocol.listing.position = 1;
    test.protocol.changes["none"] = { {}, 3 };
    test.protocol.changes["all"] = { { { "t/1", "a", 2 }, { "t/2", "b", 4 } }, 4 };
    test.protocol.changes["last"] = { { { "t/2", "b", 4 } }, 4 };
    test.respond = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list") {
            if (test.requests.size() > 1)
                test.protocol.listing = { { { "t/1", "a", 2 } }, false, 3 };
            return { 200, {}, "" };
        }
        if (test.requests.size() > 2)
            return { 200, {}, target == "/watch/1" ? "all" : "last" };
        test.advanceWithTicks(1600ms);
        return { 200, {}, "none" };
    };
    boost::asio::co_spawn(test.context, test.follower->run([] { return true; }), boost::asio::detached);
    while (test.requests.size() < 3)
        test.context.run_one();
    cr_expect(Fleet::Queries::mayBeOutdated(test.fleet.state, 1000ms, test.fleet.clock.now()), "the change of revision 2 may be missing");
    while (Fleet::Queries::knownPosition(test.fleet.state) < 4)
        test.context.run_one();
    cr_expect_eq(test.fleet.targetCount("s"), 1, "the change of revision 2 is missing");
}
