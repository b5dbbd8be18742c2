#include "Peering/ItemReceiver.h"
#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>
#include <limits>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;

// Guards against targets that stay in use after they are gone: another router listed the store after the target had left, and
// still knew an earlier deletion of it, which counted as an item of its listing.
Test(ItemReceiver, anEarlierDeletionDoesNotKeepAnItem)
{
    Fleet::TestFleetState fleet;
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    ItemReceiver receiver(settings, peers, merger, fleet.clock);
    fleet.publishAt("t/1", Fleet::targetOf("1", "s"), 12);
    cr_assert_eq(fleet.targetCount("s"), 1);
    ItemFetch fetchOfAll { { "127.0.0.2", "dc-a" }, {}, fleet.clock.now() };
    ItemBatch batch { 18, { { "t/1", "", 4, true } } };
    cr_assert(receiver.merge(fetchOfAll, batch));
    cr_expect_eq(fleet.targetCount("s"), 0);
}

// Guards against a fleet that ignores its store for ever: one node sent items of an era that the store can't have reached,
// and each receiver relayed them.
Test(ItemReceiver, takesNoItemsOfAnImplausibleEra)
{
    Fleet::TestFleetState fleet;
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemMerger merger(fleet.state, fleet.decoder, fleet.clock);
    ItemReceiver receiver(settings, peers, merger, fleet.clock);
    fleet.publishAt("c", Fleet::configurationOf(1), { 1, 5 });
    ItemFetch fetch { { "127.0.0.2", "dc-a" }, { 1, 5 }, fleet.clock.now() };
    Fleet::StorePosition largest { std::numeric_limits<uint64_t>::max(), 1 };
    cr_expect_not(receiver.merge(fetch, { largest, {} }));
    cr_expect_not(receiver.merge(fetch, { { 1, 6 }, { { "c", "", largest } } }));
    cr_expect(Fleet::Queries::knownPosition(fleet.state) == Fleet::StorePosition(1, 5));
}
