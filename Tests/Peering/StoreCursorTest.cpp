#include "Peering/StoreCursor.h"
#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>

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
