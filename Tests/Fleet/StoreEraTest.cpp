#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Fleet;
using namespace std::chrono_literals;

namespace {

// A fleet state that lists and watches a store whose era changes.
struct TestEras : TestFleetState {
    PublishedItem item(const std::string& key, Publication publication, StorePosition position)
    {
        auto value = std::to_string(position.era) + "." + std::to_string(position.revision);
        decoder.publications[key + "=" + value] = std::move(publication);
        return { key, value, position, false, {} };
    }

    Commands::AppliedChange write(const std::string& key, Publication publication, StorePosition position)
    {
        return apply(item(key, std::move(publication), position));
    }

    void removeAt(const std::string& key, StorePosition position)
    {
        apply({ key, "", position, true, {} });
    }

    // The store shows exactly these items.
    void list(std::vector<PublishedItem> items, StorePosition position)
    {
        std::vector<std::string> keys;
        for (auto& listed : items)
            keys.push_back(listed.key);
        Commands::applyItems(state, decoder, std::move(items), { position, std::nullopt }, clock.now());
        Commands::applyListing(state, decoder, "", keys, position, std::nullopt, clock.now());
    }

    // Merges all that another node knows, as after a request for everything.
    void fetchAll(const TestEras& other)
    {
        auto items = Queries::itemsAfter(other.state, 0, other.clock.now());
        for (auto& [key, publication] : other.decoder.publications)
            decoder.publications[key] = publication;
        Commands::applyItems(state, decoder, std::move(items), { Queries::knownPosition(other.state), std::nullopt }, clock.now());
    }

    void advance(std::chrono::milliseconds time)
    {
        clock.advance(time);
        Commands::expireDeletions(state, clock.now());
    }

    uint64_t configurationVersion() const { return snapshot()->configuration ? snapshot()->configuration->version : 0; }
    bool isEvacuated() const { return snapshot()->evacuatedDataCentres.contains("dc-a"); }
    uint64_t weights() const { return snapshot()->weights.at("m").back().version; }

    // Number of the targets that requests are sent to.
    size_t usableTargets() const
    {
        size_t usable = 0;
        for (auto& [service, targets] : snapshot()->targetsByService) {
            for (auto& target : targets)
                usable += target->entry.draining ? 0 : 1;
        }
        return usable;
    }
};

TargetPublished incarnationOf(uint64_t startedAt, bool isDraining = false)
{
    auto target = targetOf("1", "s");
    target.entry.startedAt = startedAt;
    target.entry.draining = isDraining;
    return target;
}

ConfigurationPublished configurationWithKey(uint64_t version, const std::string& key)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    configuration->organisationsByKey[key] = std::make_shared<Organisation>();
    return { configuration };
}

const DataCentreEvacuated evacuation { "dc-a" };

} // namespace

// Guards against a late response of the earlier era that undoes what was published since, although its revision is larger.
Test(StoreEra, anItemOfAnEarlierEraReplacesNothing)
{
    TestEras fleet;
    fleet.list({ fleet.item("c", configurationOf(5), { 1, 3 }) }, { 1, 4 });
    fleet.write("c", configurationOf(6), { 0, 50 });
    fleet.write("t/1", incarnationOf(1), { 0, 51 });
    fleet.removeAt("c", { 0, 52 });
    cr_assert_eq(fleet.configurationVersion(), 5);
    cr_assert_eq(fleet.targetCount("s"), 0, "the listing of the later era lacks it");
    cr_assert(Queries::knownPosition(fleet.state) == StorePosition(1, 4));
}

// Guards against new items that are ignored because the store gave out a smaller revision again.
Test(StoreEra, anItemOfALaterEraReplacesOneWithALargerRevision)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(1), { 0, 50 });
    fleet.write("c", configurationOf(5), { 0, 51 });
    fleet.write("t/1", incarnationOf(2), { 1, 3 });
    fleet.write("c", configurationOf(6), { 1, 4 });
    cr_assert_eq(fleet.snapshot()->targetsByService.at("s").front()->entry.startedAt, 2);
    cr_assert_eq(fleet.configurationVersion(), 6);
}

// Guards against a key that opens the way again after it was withdrawn, because the copy shows the configuration before.
Test(StoreEra, aWithdrawnKeyStaysWithdrawnUntilItsConfigurationIsWrittenAgain)
{
    TestEras fleet;
    fleet.write("c", configurationWithKey(6, "withdrawn"), { 0, 8 });
    fleet.write("c", configurationWithKey(7, "valid"), { 0, 9 });
    auto isWithdrawn = [&] { return !Queries::findOrganisation(*fleet.snapshot()->configuration, "withdrawn"); };
    fleet.list({ fleet.item("c", configurationWithKey(5, "withdrawn"), { 1, 3 }) }, { 1, 4 });
    cr_assert(isWithdrawn());
    fleet.advance(1h);
    cr_assert(isWithdrawn(), "without a bound in time");
    fleet.write("c", configurationWithKey(6, "withdrawn"), { 1, 5 });
    cr_assert(isWithdrawn());
    fleet.write("c", configurationWithKey(7, "valid"), { 1, 6 });
    cr_assert(isWithdrawn());
    // From then on, the operators decide.
    fleet.write("c", configurationWithKey(6, "withdrawn"), { 1, 7 });
    cr_assert_not(isWithdrawn());
}

// Guards against a router without a configuration because the copy is older than the first one.
Test(StoreEra, aConfigurationThatTheCopyLacksStaysInForce)
{
    TestEras fleet;
    fleet.write("c", configurationOf(2), { 0, 9 });
    fleet.list({}, { 1, 4 });
    fleet.list({}, { 1, 5 });
    cr_assert_eq(fleet.configurationVersion(), 2);
    fleet.write("c", configurationOf(1), { 1, 6 });
    cr_assert_eq(fleet.configurationVersion(), 2);
    fleet.removeAt("c", { 1, 7 });
    cr_assert_eq(fleet.configurationVersion(), 0, "the operators have removed it");
}

// Guards against weights that go back to a version before the declared one.
Test(StoreEra, aDeclaredVersionNeverGoesBack)
{
    TestEras fleet;
    fleet.write("w", WeightsDeclared { "m", 3 }, { 0, 9 });
    fleet.list({ fleet.item("w", WeightsDeclared { "m", 2 }, { 1, 3 }) }, { 1, 4 });
    cr_assert_eq(fleet.weights(), 3);
    fleet.list({}, { 2, 2 });
    cr_assert_eq(fleet.weights(), 3);
    fleet.write("w", WeightsDeclared { "m", 3 }, { 2, 3 });
    fleet.write("w", WeightsDeclared { "m", 4 }, { 2, 4 });
    cr_assert_eq(fleet.weights(), 4);
}

// Guards against outdated weights that look recent: the version was declared long ago, and only its lost item was written
// again.
Test(StoreEra, aDeclarationThatIsWrittenAgainIsAsOldAsBefore)
{
    TestEras fleet;
    fleet.clock.advance(2h);
    auto declaration = [&](uint64_t version, StorePosition position) {
        auto declared = fleet.item("w", WeightsDeclared { "m", version }, position);
        declared.age = FleetState::unknownAge;
        declared.ageIsBound = true;
        return declared;
    };
    auto merge = [&](PublishedItem declared) {
        auto position = declared.position;
        return Commands::applyItems(fleet.state, fleet.decoder, { std::move(declared) }, { position, std::nullopt, 100ms }, fleet.clock.now());
    };
    Commands::applyItems(fleet.state, fleet.decoder, { declaration(3, { 0, 9 }) }, { { 0, 9 }, std::nullopt }, fleet.clock.now());
    auto publishedAt = fleet.snapshot()->weights.at("m").back().publishedAt;
    fleet.clock.advance(10s);
    cr_assert(merge(declaration(2, { 1, 3 })).declarations.empty());
    cr_assert(merge(declaration(3, { 1, 5 })).declarations.empty(), "the follower would take its time for that of the declaration");
    cr_assert(fleet.snapshot()->weights.at("m").back().publishedAt == publishedAt);
}

// Guards against requests to a target that has said that it leaves.
Test(StoreEra, aDrainingTargetIsNotUsedAgainInItsIncarnation)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(7, true), { 0, 9 });
    fleet.list({ fleet.item("t/1", incarnationOf(7), { 1, 3 }) }, { 1, 4 });
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.list({ fleet.item("t/1", incarnationOf(7), { 2, 2 }) }, { 2, 3 });
    fleet.advance(1h);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.write("t/1", incarnationOf(7, true), { 2, 6 });
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.write("t/1", incarnationOf(8), { 2, 7 });
    cr_assert_eq(fleet.usableTargets(), 1, "it has started again");
}

// Guards against a target without an incarnation that is never used again although it has started again.
Test(StoreEra, aDrainingTargetWithoutIncarnationIsUsedOnceItIsWrittenAgain)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(0, true), { 0, 9 });
    fleet.list({ fleet.item("t/1", incarnationOf(0), { 1, 3 }) }, { 1, 4 });
    fleet.advance(119s);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.write("t/1", incarnationOf(0), { 1, 5 });
    cr_assert_eq(fleet.usableTargets(), 1);
}

// Guards against requests to a target that is gone and whose entry the copy still shows: after 10 s it counted as ready.
Test(StoreEra, anEndedTargetIsNotUsedWhileItsDeletionIsRetained)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(7), { 0, 8 });
    fleet.removeAt("t/1", { 0, 9 });
    fleet.list({ fleet.item("t/1", incarnationOf(7), { 1, 3 }) }, { 1, 4 });
    fleet.advance(FleetState::deletionRetention - 1s);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.removeAt("t/1", { 1, 6 });
    fleet.advance(2min);
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against a target that stays out although it has written its entry: its next incarnation, or one that had expired.
Test(StoreEra, anEndedTargetIsUsedAgainOnceItIsWritten)
{
    for (bool isNextIncarnation : { true, false }) {
        TestEras fleet;
        fleet.write("t/1", incarnationOf(7), { 0, 8 });
        fleet.removeAt("t/1", { 0, 9 });
        if (isNextIncarnation) {
            fleet.list({ fleet.item("t/1", incarnationOf(8), { 1, 3 }) }, { 1, 4 });
        } else {
            fleet.list({}, { 1, 4 });
            fleet.write("t/1", incarnationOf(7), { 1, 5 });
        }
        cr_assert_eq(fleet.usableTargets(), 1);
    }
}

// Guards against a target that is kept out for ever because the store returned twice: at the second time, it counted as one
// that had said that it leaves.
Test(StoreEra, anEndedTargetStaysOutForABoundedTimeAfterASecondReturn)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(7), { 0, 8 });
    fleet.removeAt("t/1", { 0, 9 });
    fleet.list({ fleet.item("t/1", incarnationOf(7), { 1, 3 }) }, { 1, 4 });
    fleet.advance(5s);
    fleet.list({ fleet.item("t/1", incarnationOf(7), { 2, 3 }) }, { 2, 4 });
    fleet.advance(FleetState::deletionRetention - 1s);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.advance(2s);
    cr_assert_eq(fleet.usableTargets(), 1);
}

// Guards against a service without targets because the copy is older than their entries, and against one that keeps them.
Test(StoreEra, targetsThatTheCopyLacksStayInUseUntilTheyHadTimeToBeWritten)
{
    TestEras fleet;
    fleet.write("t/1", incarnationOf(7), { 0, 9 });
    fleet.list({}, { 1, 4 });
    fleet.advance(1899ms);
    cr_assert_eq(fleet.usableTargets(), 1);
    fleet.advance(2ms);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.write("t/1", incarnationOf(7), { 1, 5 });
    cr_assert_eq(fleet.usableTargets(), 1);
    // One that leaves is not kept.
    fleet.write("t/1", incarnationOf(7, true), { 1, 6 });
    fleet.list({}, { 2, 3 });
    cr_assert_eq(fleet.targetCount("s"), 0);
}

// Guards against requests to an evacuated data centre because the copy is older than the evacuation.
Test(StoreEra, anEvacuationStaysInForceUntilItIsWrittenAgain)
{
    TestEras fleet;
    fleet.write("e", evacuation, { 0, 9 });
    fleet.list({}, { 1, 4 });
    fleet.advance(9s);
    cr_assert(fleet.isEvacuated());
    fleet.write("e", evacuation, { 1, 5 });
    fleet.advance(1min);
    cr_assert(fleet.isEvacuated());
}

// Guards against an evacuation that nobody can end: the operator removed it after the return, or did not write it again.
Test(StoreEra, anEvacuationThatTheCopyLacksEndsByANewerWriteOrInTime)
{
    TestEras removed;
    removed.write("e", evacuation, { 0, 9 });
    removed.list({}, { 1, 4 });
    removed.removeAt("e", { 1, 5 });
    cr_assert_not(removed.isEvacuated());
    TestEras forgotten;
    forgotten.write("e", evacuation, { 0, 9 });
    forgotten.list({}, { 1, 4 });
    forgotten.advance(10s + 1ms);
    cr_assert_not(forgotten.isEvacuated());
}

// Guards against a data centre that is out of service again because the copy is older than the end of the evacuation.
Test(StoreEra, anEndedEvacuationDoesNotReturnUntilItIsWrittenAgain)
{
    TestEras fleet;
    fleet.write("e", evacuation, { 0, 8 });
    fleet.removeAt("e", { 0, 9 });
    fleet.list({ fleet.item("e", evacuation, { 1, 3 }) }, { 1, 4 });
    cr_assert_not(fleet.isEvacuated());
    fleet.write("e", evacuation, { 1, 5 });
    cr_assert(fleet.isEvacuated(), "a newer write");
    TestEras forgotten;
    forgotten.write("e", evacuation, { 0, 8 });
    forgotten.removeAt("e", { 0, 9 });
    forgotten.list({ forgotten.item("e", evacuation, { 1, 3 }) }, { 1, 4 });
    forgotten.advance(9s);
    cr_assert_not(forgotten.isEvacuated());
    forgotten.advance(1s + 1ms);
    cr_assert(forgotten.isEvacuated());
}

// Guards against a new evacuation that waits for 10 s because an earlier one of the data centre had ended.
Test(StoreEra, anEvacuationThatIsWrittenAfterTheListingIsInForceAtOnce)
{
    TestEras fleet;
    fleet.write("e", evacuation, { 0, 8 });
    fleet.removeAt("e", { 0, 9 });
    fleet.list({}, { 1, 4 });
    fleet.write("e", evacuation, { 1, 5 });
    cr_assert(fleet.isEvacuated());
}

// Guards against an ended evacuation that returns when the store returns a second time before its end is written again.
Test(StoreEra, anEndedEvacuationDoesNotReturnWithASecondCopy)
{
    TestEras fleet;
    fleet.write("e", evacuation, { 0, 8 });
    fleet.removeAt("e", { 0, 9 });
    fleet.list({ fleet.item("e", evacuation, { 1, 3 }) }, { 1, 4 });
    fleet.advance(4s);
    fleet.list({ fleet.item("e", evacuation, { 2, 3 }) }, { 2, 4 });
    cr_assert_not(fleet.isEvacuated());
    fleet.advance(9s);
    cr_assert_not(fleet.isEvacuated());
    fleet.advance(1s + 1ms);
    cr_assert(fleet.isEvacuated());
}

// Guards against the end of an evacuation, or of a target in use, because a second router that listed the copy a little
// later relays its own deletion.
Test(StoreEra, aDelayedDeletionIsNotShortenedByThatOfAnotherRouter)
{
    TestEras fleet;
    fleet.write("e", evacuation, { 0, 8 });
    fleet.write("t/1", incarnationOf(7), { 0, 9 });
    fleet.list({}, { 1, 4 });
    fleet.apply({ "e", "", { 1, 6 }, true, {}, false, 9s });
    fleet.apply({ "t/1", "", { 1, 6 }, true, {}, false, 1500ms });
    cr_assert(fleet.isEvacuated());
    cr_assert_eq(fleet.usableTargets(), 1);
    // Nor prolonged.
    fleet.advance(1s);
    fleet.apply({ "e", "", { 1, 7 }, true, {}, false, 10s });
    fleet.apply({ "t/1", "", { 1, 7 }, true, {}, false, 1900ms });
    fleet.advance(501ms);
    cr_assert_eq(fleet.usableTargets(), 0);
    fleet.advance(7500ms);
    cr_assert_not(fleet.isEvacuated());
}

// Guards against a router that starts after the return and serves what the copy shows although the others know better.
Test(StoreEra, aNodeThatStartsAfterTheReturnTakesTheHigherVersionFromOthers)
{
    for (bool isShownByCopy : { true, false }) {
        TestEras known;
        known.write("c", configurationOf(7), { 0, 9 });
        TestEras started;
        std::vector<PublishedItem> copy;
        if (isShownByCopy)
            copy.push_back(known.item("c", configurationOf(5), { 1, 3 }));
        started.decoder = known.decoder;
        known.list(copy, { 1, 4 });
        started.list(copy, { 1, 4 });
        cr_assert_eq(started.configurationVersion(), isShownByCopy ? 5 : 0);
        started.fetchAll(known);
        cr_assert_eq(started.configurationVersion(), 7);
        // The higher version stays also in the other direction.
        TestEras other;
        other.decoder = known.decoder;
        other.list(copy, { 1, 4 });
        known.fetchAll(other);
        cr_assert_eq(known.configurationVersion(), 7);
        started.write("c", configurationOf(6), { 1, 5 });
        cr_assert_eq(started.configurationVersion(), 7);
    }
}

// Guards against a time of one version that is taken for that of another: a node that retains a version relays it with its
// age, at the position at which others have the version that the copy shows.
Test(StoreEra, theAgeOfARetainedVersionIsNotThatOfTheVersionShown)
{
    for (bool isRetained : { true, false }) {
        TestEras fleet;
        fleet.clock.advance(2h);
        auto shown = fleet.item("w", WeightsDeclared { "m", 2 }, { 1, 3 });
        auto retained = shown;
        retained.value = "retained";
        fleet.decoder.publications["w=retained"] = WeightsDeclared { "m", 3 };
        shown.age = 60s;
        retained.age = 10s;
        fleet.apply(isRetained ? retained : shown);
        fleet.apply(isRetained ? shown : retained);
        auto declared = fleet.snapshot()->weights.at("m").back();
        cr_assert_eq(declared.version, 3);
        cr_assert(declared.publishedAt == fleet.clock.now() - 10s);
    }
}

// Guards against a change in the behaviour with a store that has no eras.
Test(StoreEra, nothingIsRetainedWithoutAnEra)
{
    TestEras fleet;
    fleet.write("c", configurationOf(7), 9);
    fleet.write("t/1", incarnationOf(7, true), 10);
    fleet.write("e", evacuation, 11);
    auto change = fleet.write("c", configurationOf(6), 12);
    fleet.write("t/1", incarnationOf(7), 13);
    cr_assert(change.retained.empty());
    cr_assert_eq(fleet.configurationVersion(), 6);
    cr_assert_eq(fleet.usableTargets(), 1);
    fleet.list({}, 14);
    cr_assert_not(fleet.isEvacuated());
    cr_assert_eq(fleet.configurationVersion(), 0);
}

// Guards against requests to a target that drains or is gone because the copy shows its incarnation before, and against one
// that stays out although it has started again before the listing.
Test(StoreEra, anEarlierIncarnationIsNotUsedEither)
{
    for (bool isEnded : { true, false }) {
        for (uint64_t shown : { 6, 7, 8 }) {
            TestEras fleet;
            fleet.write("t/1", incarnationOf(7, !isEnded), { 0, 8 });
            if (isEnded)
                fleet.removeAt("t/1", { 0, 9 });
            fleet.list({ fleet.item("t/1", incarnationOf(shown), { 1, 3 }) }, { 1, 4 });
            cr_assert_eq(fleet.usableTargets(), shown == 8 ? 1 : 0);
        }
    }
}
