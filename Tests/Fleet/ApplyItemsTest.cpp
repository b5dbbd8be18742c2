#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Fleet;
using namespace std::chrono_literals;

// Guards against reverting to an older configuration when items arrive out of order.
Test(ApplyItems, neverReplacesANewerRevisionByAnOlderOne)
{
    TestFleetState fleet;
    fleet.publish("c", configurationOf(1));
    fleet.publish("c", configurationOf(2));
    fleet.apply({ "c", "1", 1, false, {} });
    cr_assert_eq(fleet.snapshot()->configuration->version, 2);
}

// Guards against a record that loses its key because the item is moved before the key is read: the configuration was
// missing after the next change.
Test(ApplyItems, keepsTheConfigurationWhenOtherItemsChange)
{
    TestFleetState fleet;
    fleet.publish("c", configurationOf(1));
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.publish("t/2", targetOf("2", "s"));
    cr_assert(fleet.snapshot()->configuration);
    cr_assert_eq(fleet.targetCount("s"), 2);
}

// Guards against a router without a configuration because an item could not be decoded.
Test(ApplyItems, keepsThePreviousConfigurationIfTheNextIsUnreadable)
{
    TestFleetState fleet;
    fleet.publish("c", configurationOf(1));
    fleet.publish("c", Unreadable { "no JSON" });
    cr_assert_eq(fleet.snapshot()->configuration->version, 1);
    fleet.publish("c", configurationOf(3));
    cr_assert_eq(fleet.snapshot()->configuration->version, 3);
}

// Guards against requests to a target whose entry was overwritten with invalid bytes.
Test(ApplyItems, anUnreadableEntryRemovesTheTarget)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.publish("t/1", Unreadable { "no state" });
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against a deleted key that is restored by a node with an older revision.
Test(ApplyItems, retainsDeletions)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.remove("t/1");
    fleet.apply({ "t/1", "1", 1, false, {} });
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against losing all targets after an outage of the store, during which their entries expire.
Test(ApplyItems, keepsAnExpiredEntryUntilItsDeletionIsDue)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.remove("t/1", fleet.clock.now() + 1900ms);
    cr_assert_eq(fleet.targetCount("s"), 1);
    fleet.clock.advance(1899ms);
    Commands::expireDeletions(fleet.state, fleet.clock.now());
    cr_assert_eq(fleet.targetCount("s"), 1);
    fleet.clock.advance(2ms);
    Commands::expireDeletions(fleet.state, fleet.clock.now());
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against keeping a draining target because its entry expired.
Test(ApplyItems, doesNotKeepAnExpiredEntryOfADrainingTarget)
{
    TestFleetState fleet;
    auto target = targetOf("1", "s");
    target.entry.draining = true;
    fleet.publish("t/1", target);
    fleet.remove("t/1", fleet.clock.now() + 1900ms);
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against keeping targets whose deletion is missing because the store lost its history.
Test(ApplyItems, aListingDeletesMissingKeys)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.publish("t/2", targetOf("2", "s"));
    Commands::applyListing(fleet.state, fleet.decoder, "t/", { "t/2" }, 2, std::nullopt, fleet.clock.now());
    cr_assert_eq(fleet.targetCount("s"), 1);
    // An entry with a newer revision than the listing was created after it.
    fleet.publish("t/3", targetOf("3", "s"));
    Commands::applyListing(fleet.state, fleet.decoder, "t/", { "t/2" }, 2, std::nullopt, fleet.clock.now());
    cr_assert_eq(fleet.targetCount("s"), 2);
}

// Guards against a restarted router that treats an old declaration of weights as a new one.
Test(ApplyItems, usesTheAgeOfADeclaration)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 2 }, 1h);
    auto history = fleet.snapshot()->weights.at("m");
    cr_assert_eq(history.size(), 1);
    cr_assert(history.back().publishedAt == fleet.clock.now() - 1h);
}

// Guards against a restarted router that stops using engines at once because it does not know when their weights were
// replaced, although another router does.
Test(ApplyItems, refinesTheAgeOfADeclaration)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 2 }, 1h, true);
    fleet.apply({ "w", "1", 1, false, 3s });
    cr_assert(fleet.snapshot()->weights.at("m").back().publishedAt == fleet.clock.now() - 3s);
}

// Guards against using old weights past their deadline: a slow store delivers a declaration that other nodes relayed
// seconds before. This made it look new at this node and at all nodes to which this one relayed it.
Test(ApplyItems, aRepeatedDeclarationDoesNotBecomeMoreRecent)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 2 }, 100ms);
    auto declaredAt = fleet.snapshot()->weights.at("m").back().publishedAt;
    fleet.clock.advance(4s);
    fleet.apply({ "w", "1", 1, false, 150ms });
    fleet.apply({ "w", "1", 1, false, 0ms, true });
    cr_assert(fleet.snapshot()->weights.at("m").back().publishedAt == declaredAt);
}

// Guards against requests on old weights after the first news of a declaration had waited on a link: the node, and all to
// which it passed the time on, took the declaration for more recent than it was, although better news arrived later.
Test(ApplyItems, anEarlierObservedTimeReplacesALaterOne)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 2 });
    fleet.clock.advance(4s);
    Commands::applyObservedDeclarations(fleet.state, { { "m", 2, 4940ms } }, fleet.clock.now());
    auto& declared = fleet.snapshot()->weights.at("m").back();
    cr_assert(declared.publishedAt == fleet.clock.now() - 4940ms);
    cr_assert_not(declared.publishedAtIsLowerBound);
    fleet.apply({ "w", "1", 1, false, 6s, true });
    cr_assert(fleet.snapshot()->weights.at("m").back().publishedAt == fleet.clock.now() - 4940ms, "a bound says nothing about an observed time");
}

// Guards against a second declaration that cancels the deadline of the first.
Test(ApplyItems, keepsTheHistoryOfDeclarations)
{
    TestFleetState fleet;
    fleet.publish("w", WeightsDeclared { "m", 2 });
    fleet.clock.advance(2s);
    fleet.publish("w", WeightsDeclared { "m", 3 });
    auto history = fleet.snapshot()->weights.at("m");
    cr_assert_eq(history.size(), 2);
    cr_assert_eq(history.front().version, 2);
}

// Guards against a restarted router that uses weights whose deadline has passed: it lists only the last declaration, and
// missed the one before.
Test(ApplyItems, assumesAMissedDeclarationBeforeAListedOne)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 3 }, 500ms);
    auto history = fleet.snapshot()->weights.at("m");
    cr_assert_eq(history.size(), 2);
    cr_assert_eq(history.front().version, 2);
    cr_assert(history.front().publishedAt == fleet.clock.now() - FleetState::unknownAge);
    // Version 1 is in force before the first declaration.
    fleet.publish("x", WeightsDeclared { "n", 2 });
    cr_assert_eq(fleet.snapshot()->weights.at("n").size(), 1);
}

// Guards against a restarted router that refuses all requests because it assumes that an earlier declaration is old,
// although other nodes know its time.
Test(ApplyItems, refinesAMissedDeclarationByAnObservedOne)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 4 }, 1h, true);
    Commands::applyObservedDeclarations(fleet.state, { { "m", 2, 9s }, { "m", 3, 5s }, { "m", 4, 1s }, { "m", 5, 0s }, { "n", 2, 0s } }, fleet.clock.now());
    auto history = fleet.snapshot()->weights.at("m");
    cr_assert_eq(history.size(), 3, "a declaration that is not published yet must not be added");
    cr_assert(history[0].version == 2 && history[0].publishedAt == fleet.clock.now() - 9s);
    cr_assert(history[1].version == 3 && history[1].publishedAt == fleet.clock.now() - 5s);
    cr_assert(history[2].version == 4 && history[2].publishedAt == fleet.clock.now() - 1s);
    // Observed times are exact and never change.
    Commands::applyObservedDeclarations(fleet.state, { { "m", 3, 0s } }, fleet.clock.now());
    cr_assert(fleet.snapshot()->weights.at("m")[1].publishedAt == fleet.clock.now() - 5s);
    cr_assert_not(fleet.snapshot()->weights.contains("n"));
}

// Guards against a node that relays an upper bound as an observed time.
Test(ObservedDeclarations, areExactAndRecent)
{
    TestFleetState fleet;
    fleet.clock.advance(2h);
    fleet.publish("w", WeightsDeclared { "m", 2 }, 20s);
    fleet.publish("w", WeightsDeclared { "m", 3 }, 2s);
    fleet.publish("x", WeightsDeclared { "n", 2 }, 1s, true);
    auto observed = Queries::observedDeclarations(fleet.state, 16s, fleet.clock.now());
    cr_assert_eq(observed.size(), 1);
    cr_assert(observed.front().model == "m" && observed.front().version == 3 && observed.front().age == 2s);
}

// Guards against omitting deletions from the items that another node fetches.
Test(ItemsAfter, includesDeletionsAndAges)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.publish("w", WeightsDeclared { "m", 2 });
    fleet.remove("t/1");
    fleet.clock.advance(5s);
    auto items = Queries::itemsAfter(fleet.state, 1, fleet.clock.now());
    cr_assert_eq(items.size(), 2);
    cr_assert(items[0].deleted);
    cr_assert_eq(items[1].age.count(), 5000);
}

// Guards against using a route with a shorter prefix than the best match.
Test(MatchRoute, usesTheLongestPrefixOfTheHost)
{
    Configuration configuration;
    auto add = [&](const std::string& name, const std::string& prefix) {
        auto route = std::make_shared<Route>();
        route->name = name;
        route->prefix = prefix;
        configuration.routes["h"].push_back(route);
    };
    add("long", "/a/b/");
    add("short", "/a/");
    cr_assert_eq(Queries::matchRoute(configuration, "h", "/a/b/c")->name, "long");
    cr_assert_eq(Queries::matchRoute(configuration, "h", "/a/c")->name, "short");
    cr_assert_null(Queries::matchRoute(configuration, "h", "/b/").get());
    cr_assert_null(Queries::matchRoute(configuration, "other", "/a/").get());
}

// Guards against routers that drop a target at once when the store follower relays the expiry of its entry, while the
// follower itself still waits for the entry to be published again.
Test(ApplyItems, relaysTheDelayOfADeletion)
{
    TestFleetState follower;
    follower.clock.advance(1h);
    follower.publish("t/1", targetOf("1", "s"));
    TestFleetState other;
    other.decoder = follower.decoder;
    other.clock.advance(1h);
    for (auto& item : Queries::itemsAfter(follower.state, 0, follower.clock.now()))
        other.apply(item);
    follower.remove("t/1", follower.clock.now() + 1900ms);
    follower.clock.advance(400ms);
    other.clock.advance(400ms);
    for (auto& item : Queries::itemsAfter(follower.state, 1, follower.clock.now()))
        other.apply(item);
    Commands::expireDeletions(other.state, other.clock.now());
    cr_assert_eq(other.targetCount("s"), 1);
    other.clock.advance(1501ms);
    Commands::expireDeletions(other.state, other.clock.now());
    cr_assert_eq(other.targetCount("s"), 0);
}

// Guards against requests to a target that is gone: a router that had just listed the store took the target from a peer
// that did not know of its deletion yet.
Test(ApplyItems, doesNotRestoreAnItemThatANewerListingLacks)
{
    TestFleetState peer;
    peer.publish("t/1", targetOf("1", "s"));
    peer.publish("t/2", targetOf("2", "s"));
    TestFleetState started;
    started.decoder = peer.decoder;
    auto items = Queries::itemsAfter(peer.state, 0, peer.clock.now());
    started.apply(items.back());
    Commands::applyListing(started.state, started.decoder, "t/", { "t/2" }, 3, std::nullopt, started.clock.now());
    Commands::applyItems(started.state, started.decoder, items, { 2, std::nullopt }, started.clock.now());
    cr_assert_eq(started.targetCount("s"), 1);
    // The target may be published again.
    peer.revision = 3;
    peer.publish("t/1", targetOf("1", "s"));
    started.decoder = peer.decoder;
    Commands::applyItems(started.state, started.decoder, Queries::itemsAfter(peer.state, 3, peer.clock.now()), { 4, std::nullopt }, started.clock.now());
    cr_assert_eq(started.targetCount("s"), 2);
}

// Guards against a log line for each listing, and for each peer that relays the item.
Test(ApplyItems, reportsAnUnreadableItemOnce)
{
    TestFleetState fleet;
    fleet.decoder.publications["t/1=odd"] = Unreadable { "odd" };
    cr_assert_eq(fleet.apply({ "t/1", "odd", 3, false, {} }).unreadable.size(), 1);
    auto again = fleet.apply({ "t/1", "odd", 3, false, {} });
    cr_assert(again.unreadable.empty() && !again.anything);
}

// Guards against routers that never catch up, and against memory taken by other writers: values that are of no use
// were kept and relayed whole, until they exceeded what a node accepts in one response.
Test(ApplyItems, doesNotKeepLargeValuesThatAreNotUsed)
{
    constexpr size_t valueBytes = 1024 * 1024;
    TestFleetState fleet;
    auto value = std::string(valueBytes, 'x');
    for (uint64_t revision = 1; revision <= 16; ++revision) {
        auto key = "t/" + std::to_string(revision);
        if (revision % 2)
            fleet.decoder.publications[key + "=" + value] = Unreadable { "odd" };
        fleet.apply({ key, value, revision, false, {} });
    }
    size_t bytes = 0;
    auto items = Queries::itemsAfter(fleet.state, 0, fleet.clock.now());
    for (auto& item : items)
        bytes += item.value.size();
    cr_assert_eq(items.size(), 16);
    cr_assert_eq(bytes, 0, "%zu bytes", bytes);
}

// Guards against targets and evacuations that stay in force for ever at a node that was cut off for long: others had
// forgotten the deletions by then, and told it the other changes as if these were all.
Test(ApplyItems, forgottenDeletionsAreNotAnsweredFor)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.publish("t/2", targetOf("2", "s"));
    auto before = Queries::knownPosition(fleet.state);
    fleet.remove("t/1");
    auto after = Queries::knownPosition(fleet.state);
    fleet.clock.advance(FleetState::deletionRetention + std::chrono::seconds(1));
    cr_expect_not(Queries::mayMissDeletions(fleet.state, before), "the deletion is known");
    Commands::expireDeletions(fleet.state, fleet.clock.now());
    cr_expect(Queries::mayMissDeletions(fleet.state, before), "the deletion is forgotten");
    cr_expect_not(Queries::mayMissDeletions(fleet.state, after));
}

// Guards against targets that are in use although they are gone: a page of a listing was read before the target left and
// merged after a later listing, which lacked it, and an earlier deletion hid that.
Test(ApplyItems, anItemThatALaterListingLacksStaysMissing)
{
    TestFleetState fleet;
    fleet.publish("t/1", targetOf("1", "s"));
    fleet.remove("t/1");
    fleet.decoder.publications["t/1=again"] = targetOf("1", "s");
    Commands::applyListing(fleet.state, fleet.decoder, "", {}, 5, std::nullopt, fleet.clock.now());
    fleet.apply({ "t/1", "again", 4 });
    cr_expect_eq(fleet.targetCount("s"), 0, "it was deleted before the listing");
    fleet.apply({ "t/1", "again", 6 });
    cr_expect_eq(fleet.targetCount("s"), 1, "it was published after the listing");
}
