#include "Peering/ItemReceiver.h"
#include "Fleet/FleetFixture.h"
#include "Peering/Commands/RecordPeer.h"

#include <criterion/criterion.h>
#include <limits>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;

namespace {

struct TestReceiver {
    Fleet::TestFleetState fleet;
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemMerger merger { fleet.state, fleet.decoder, fleet.clock };
    ItemReceiver receiver { settings, peers, merger, fleet.clock };
};

} // namespace

// Guards against targets that stay in use after they are gone: another router listed the store after the target had left, and
// still knew an earlier deletion of it, which counted as an item of its listing.
Test(ItemReceiver, anEarlierDeletionDoesNotKeepAnItem)
{
    TestReceiver test;
    auto& [fleet, settings, peers, merger, receiver] = test;
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
    TestReceiver test;
    auto& [fleet, settings, peers, merger, receiver] = test;
    fleet.publishAt("c", Fleet::configurationOf(1), { 1, 5 });
    ItemFetch fetch { { "127.0.0.2", "dc-a" }, { 1, 5 }, fleet.clock.now() };
    Fleet::StorePosition largest { std::numeric_limits<uint64_t>::max(), 1 };
    cr_expect_not(receiver.merge(fetch, { largest, {} }));
    cr_expect_not(receiver.merge(fetch, { { 1, 6 }, { { "c", "", largest } } }));
    cr_expect(Fleet::Queries::knownPosition(fleet.state) == Fleet::StorePosition(1, 5));
}

// Guards against a router that was cut off while the store returned from an older copy, and serves what the copy shows until
// the operators write again: its position was that of the others, so that it asked none of them.
Test(ItemReceiver, takesWhatARouterRetainsAtTheSamePosition)
{
    TestReceiver test;
    auto& [fleet, settings, peers, merger, receiver] = test;
    auto heard = [&](uint64_t retainedDigest) {
        PeerRouter router { "127.0.0.2", "dc-a", fleet.clock.now(), { 1, 5 } };
        router.retainedDigest = retainedDigest;
        Commands::recordRouter(peers, router);
        return receiver.mayLackRetained(router.position, retainedDigest);
    };
    Fleet::PublishedItem shown { "c", "shown", { 1, 5 }, false, {} };
    fleet.decoder.publications["c=shown"] = Fleet::configurationOf(7);
    fleet.decoder.publications["c=retained"] = Fleet::configurationOf(8);
    cr_assert(receiver.merge({ { "127.0.0.3", "dc-a" }, {}, fleet.clock.now() }, { { 1, 5 }, { shown } }));
    constexpr uint64_t digest = 17;
    cr_expect_not(heard(0));
    cr_expect_not(receiver.nextFetch().has_value());
    cr_expect(heard(digest));
    auto fetch = receiver.nextFetch();
    cr_assert(fetch.has_value());
    cr_expect(fetch->after == Fleet::StorePosition(), "an item at the same position does not come with later ones");
    auto retained = shown;
    retained.value = "retained";
    cr_assert(receiver.merge(*fetch, { { 1, 5 }, { retained } }));
    cr_expect_eq(fleet.snapshot()->configuration->version, 8);
    cr_expect_not(heard(digest), "each digest is followed once");
    cr_expect_not(receiver.nextFetch().has_value());
    // Routers that have not heard of the next version yet still report what this node retained too.
    receiver.updateLag();
    auto ownDigest = fleet.snapshot()->retainedDigest;
    cr_assert_neq(ownDigest, 0);
    fleet.publishAt("c", Fleet::configurationOf(9), { 1, 6 });
    cr_expect_eq(fleet.snapshot()->retainedDigest, 0);
    cr_expect_not(heard(ownDigest));
}
