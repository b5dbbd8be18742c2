#include "Peering/StoreFollower.h"
#include "Fleet/FleetFixture.h"
#include "Http/NodeServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

namespace {

// Names the calls by their paths; the changes are those that the test gave for the call.
class ScriptedProtocol final : public Fleet::StoreProtocol {
public:
    // Changes by the body of the answer.
    std::map<std::string, Fleet::ChangeBatch> changes;
    Fleet::ListPage listing;

    Http::HttpRequest listRequest(const std::string&, const std::string&) const override { return get("/list"); }
    Base::Result<Fleet::ListPage, Fleet::StoreError> readList(const Http::HttpResponse& response) const override
    {
        if (response.status != 200)
            return Fleet::StoreError { Fleet::StoreErrorKind::Refused, "refused", "ask again" };
        return listing;
    }

    Http::HttpRequest watchRequest(const std::string&, uint64_t afterRevision, std::chrono::milliseconds) const override { return get("/watch/" + std::to_string(afterRevision)); }
    Base::Result<Fleet::ChangeBatch, Fleet::StoreError> readChanges(const Http::HttpResponse& response) const override
    {
        auto found = changes.find(response.body);
        if (response.status != 200 || found == changes.end())
            return Fleet::StoreError { Fleet::StoreErrorKind::Refused, "refused", "ask again" };
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

// A follower and the store that it asks. Each answer is chosen by the test, which ends the run.
struct TestFollower {
    using Answer = std::function<Http::HttpResponse(const std::string& target)>;

    boost::asio::io_context context;
    Fleet::TestFleetState fleet;
    ScriptedProtocol protocol;
    ItemMerger merger { fleet.state, fleet.decoder, fleet.clock };
    std::vector<std::string> calls;
    Answer answer;
    std::shared_ptr<Http::NodeServer> server;
    std::unique_ptr<StoreFollower> follower;

    TestFollower()
    {
        fleet.clock.advance(1h);
        server = Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) -> boost::asio::awaitable<Http::HttpResponse> {
            calls.push_back(request.target);
            auto response = answer(request.target);
            co_return response;
        });
        follower = std::make_unique<StoreFollower>(context, Http::Endpoint { "127.0.0.1", server->port() }, protocol, merger, fleet.clock, "");
    }

    void run(std::function<bool()> isNeeded)
    {
        boost::asio::co_spawn(context, follower->run(std::move(isNeeded)), boost::asio::detached);
        context.run();
    }
};

const Http::HttpResponse refused { 503, {}, "" };

} // namespace

// Guards against engines whose weights count as too old as soon as the store returns: nothing was declared while
// it was away, so the time without an answer says nothing of the declaration's age.
Test(StoreFollower, doesNotTakeAnOutageForTheAgeOfAChange)
{
    TestFollower test;
    test.protocol.listing.revision = 1;
    Fleet::PublishedItem declaration { "w", "2", 2, false, {} };
    test.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    test.protocol.changes["declared"] = { { declaration }, 2 };
    unsigned refusals = 0;
    test.answer = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        if (refusals++ < 2) {
            test.fleet.clock.advance(8s);
            return refused;
        }
        test.context.stop();
        return { 200, {}, "declared" };
    };
    test.run([] { return true; });
    test.context.restart();
    while (test.fleet.snapshot()->weights.empty())
        test.context.run_one();
    auto age = test.fleet.clock.now() - test.fleet.snapshot()->weights.at("m").back().learnedAt;
    cr_assert_leq(std::chrono::duration_cast<std::chrono::milliseconds>(age).count(), 1200);
}

// Guards against calls to the store by a router to which others tell what is published, and against a listing of
// everything when it takes the store over from them.
Test(StoreFollower, goesOnFromWhatOtherNodesTold)
{
    TestFollower test;
    test.protocol.listing.revision = 1;
    bool isNeeded = true;
    test.answer = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list") {
            isNeeded = false;
            return { 200, {}, "" };
        }
        test.context.stop();
        return refused;
    };
    unsigned checks = 0;
    test.run([&] {
        // Another node tells of revision 7 before the store is needed again.
        if (!isNeeded && ++checks == 3) {
            test.fleet.apply({ "t/1", "", 7, false, {} });
            isNeeded = true;
        }
        return isNeeded;
    });
    cr_assert_eq(test.calls.size(), 2);
    cr_assert_eq(test.calls.back(), "/watch/7");
}

// Guards against a claim to follow the store by a router that the store turns away.
Test(StoreFollower, claimsNothingWhileTheStoreRefuses)
{
    TestFollower test;
    test.protocol.listing.revision = 1;
    test.answer = [&](const std::string& target) -> Http::HttpResponse {
        if (target == "/list")
            return { 200, {}, "" };
        cr_expect(test.calls.size() > 2 || test.follower->syncedAt().has_value());
        if (test.calls.size() < 3)
            return refused;
        cr_expect_not(test.follower->syncedAt().has_value());
        test.context.stop();
        return refused;
    };
    test.run([] { return true; });
    cr_assert_eq(test.calls.size(), 3);
}

// Guards against engines whose weights count as too old because a router that has just started listed the
// declaration, does not know its age, and tells the others before they hear of it from the store.
Test(ItemMerger, doesNotTakeTheAgeOfANodeThatHasJustStarted)
{
    TestFollower started;
    TestFollower other;
    Fleet::PublishedItem declaration { "w", "2", 2, false, {} };
    started.fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
    other.fleet.decoder = started.fleet.decoder;
    declaration.age = started.merger.longestAge();
    declaration.ageIsBound = true;
    started.merger.apply({ declaration }, 2, std::nullopt, "store");
    other.merger.noteComplete(other.fleet.clock.now());
    other.fleet.clock.advance(8s);
    other.merger.noteStoreFailure(other.fleet.clock.now());
    other.fleet.clock.advance(500ms);
    other.merger.applyFromPeer(Fleet::Queries::itemsAfter(started.fleet.state, 0, started.fleet.clock.now()), 2, "10.0.0.1");
    auto ageAt = [](TestFollower& node) {
        auto age = node.fleet.clock.now() - node.fleet.snapshot()->weights.at("m").back().learnedAt;
        return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    };
    cr_assert_eq(ageAt(other), 500);
    cr_assert_geq(ageAt(started), 3600 * 1000, "it must not use old weights for longer than allowed");
    // A node that saw it come is believed.
    TestFollower third;
    third.fleet.decoder = started.fleet.decoder;
    third.merger.noteComplete(third.fleet.clock.now());
    third.fleet.clock.advance(100ms);
    declaration.age = 500ms;
    declaration.ageIsBound = false;
    third.merger.applyFromPeer({ declaration }, 2, "10.0.0.2");
    cr_assert_eq(ageAt(third), 500);
}

// Guards against requests to a target whose entry is removed just after the store had turned this node away: that
// looked like an entry which lapsed while the store was away, and the target was kept for another two seconds.
Test(StoreFollower, defersNoDeletionWhileOthersReachedTheStore)
{
    for (bool othersReachedIt : { true, false }) {
        TestFollower test;
        test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
        test.protocol.listing = { Fleet::Queries::itemsAfter(test.fleet.state, 0, test.fleet.clock.now()), false, 1 };
        test.protocol.changes["removed"] = { { { "t/1", "", 2, true, {} } }, 2 };
        test.answer = [&](const std::string& target) -> Http::HttpResponse {
            if (target == "/list")
                return { 200, {}, "" };
            if (test.calls.size() == 2) {
                test.fleet.clock.advance(8s);
                if (othersReachedIt)
                    test.merger.noteTold(test.fleet.clock.now());
                return refused;
            }
            test.context.stop();
            return { 200, {}, "removed" };
        };
        test.run([] { return true; });
        test.context.restart();
        while (Fleet::Queries::knownRevision(test.fleet.state) < 2)
            test.context.run_one();
        cr_assert_eq(test.fleet.targetCount("s"), othersReachedIt ? 0 : 1);
    }
}
