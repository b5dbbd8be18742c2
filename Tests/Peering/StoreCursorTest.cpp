#include "Peering/StoreCursor.h"
#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>
#include <limits>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

// Guards against configurations that a node counts as known and never had: the store lost them as it returned from an older
// copy, after a router had followed it, and that router reported its contact with the earlier store as one with the later.
Test(StoreCursor, reportsNoSyncOfAnEarlierEra)
{
    Fleet::TestFleetState fleet;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    Base::StallMonitor stalls(fleet.clock, 50ms);
    StoreCursor cursor(merger, fleet.clock, stalls);
    auto list = [&](Fleet::StorePosition position) {
        auto listing = cursor.startListing();
        cr_assert(cursor.addPage(listing, Fleet::ListPage { {}, false, position }) == StoreOutcome::Used);
        cursor.recordResult(true);
    };
    list({ 1, 5 });
    cr_assert(cursor.syncedAt().has_value());
    fleet.publishAt("c", Fleet::configurationOf(3), { 2, 3 });
    cr_expect_not(cursor.syncedAt().has_value(), "another node told of a later era");
    list({ 2, 3 });
    cr_expect(cursor.syncedAt().has_value());
}

// Guards against a store that a node ignores for ever: one response named an era that the store can't have reached, and all
// later responses counted as earlier ones.
Test(StoreCursor, ignoresAnImplausibleEra)
{
    Fleet::TestFleetState fleet;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    Base::StallMonitor stalls(fleet.clock, 50ms);
    StoreCursor cursor(merger, fleet.clock, stalls);
    auto list = [&](Fleet::StorePosition position) {
        auto listing = cursor.startListing();
        return cursor.addPage(listing, Fleet::ListPage { {}, false, position });
    };
    constexpr auto largest = std::numeric_limits<uint64_t>::max();
    cr_assert(list({ 1, 5 }) == StoreOutcome::Used);
    cr_expect(list({ largest, 6 }) == StoreOutcome::Ignored);
    cr_expect(cursor.applyChanges(Fleet::ChangeBatch { {}, { largest, 6 } }, cursor.nextWatch()) == StoreOutcome::Ignored);
    cr_expect(list({ 1 + Fleet::StorePosition::maximumMissedEras, 6 }) == StoreOutcome::Used);
}

// Guards against outdated weights that look recent: a watch was not answered, and the declaration that the next answer brought
// counted as made just before it.
Test(StoreCursor, aChangeAfterAnAbandonedWatchHasNoExactTime)
{
    for (bool isAbandoned : { true, false }) {
        Fleet::TestFleetState fleet;
        fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
        Base::StallMonitor stalls(fleet.clock, 50ms);
        StoreCursor cursor(merger, fleet.clock, stalls);
        auto listing = cursor.startListing();
        cr_assert(cursor.addPage(listing, Fleet::ListPage { {}, false, 1 }) == StoreOutcome::Used);
        auto answerWith = [&](std::vector<Fleet::PublishedItem> changes, uint64_t revision) {
            auto watch = cursor.nextProbe();
            cr_assert(cursor.applyChanges(Fleet::ChangeBatch { std::move(changes), revision }, watch) == StoreOutcome::Used);
            cursor.recordResult(true);
        };
        answerWith({}, 1);
        fleet.clock.advance(100ms);
        stalls.tick();
        if (isAbandoned) {
            cursor.recordFailure("no answer", fleet.clock.now());
            cursor.abandonWatch();
        }
        answerWith({ { "w", "2", 2, false, {} } }, 2);
        answerWith({}, 2);
        cr_expect_eq(fleet.snapshot()->weights.at("m").back().publishedAtIsLowerBound, isAbandoned);
    }
}

// Guards against a store that is asked late after an outage: the time until it is asked again beside a watch grew with each
// timeout.
Test(StoreCursor, asksAgainAsSoonAfterManyTimeoutsAsAfterOne)
{
    Fleet::TestFleetState fleet;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    Base::StallMonitor stalls(fleet.clock, 50ms);
    StoreCursor cursor(merger, fleet.clock, stalls);
    auto listing = cursor.startListing();
    cr_assert(cursor.addPage(listing, Fleet::ListPage { {}, false, 1 }) == StoreOutcome::Used);
    auto failOnce = [&] {
        cursor.recordWatchTimeout();
        cursor.recordFailure("no answer", fleet.clock.now());
        cursor.recordResult(false);
        return cursor.hedgeDelayOf(cursor.nextWatch());
    };
    auto first = failOnce();
    auto timeout = cursor.timeoutOf(cursor.nextWatch());
    for (unsigned i = 0; i < 5; ++i)
        cr_expect(failOnce() == first);
    cr_expect(cursor.timeoutOf(cursor.nextWatch()) > timeout, "a slow store is given more time");
    cr_expect_lt(first / 1ms, 1000, "the store is asked within a second");
}
