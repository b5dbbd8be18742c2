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
