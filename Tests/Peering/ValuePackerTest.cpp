#include "Peering/ValuePacker.h"
#include "Fleet/FleetFixture.h"

#include <criterion/criterion.h>
#include <random>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;

namespace {

// Routes with random names, so that a value alone compresses little.
std::string routes(unsigned seed, size_t count)
{
    std::mt19937_64 random(seed);
    std::string text;
    for (size_t i = 0; i < count; ++i)
        text += "{\"host\":\"" + std::to_string(random()) + "\",\"prefix\":\"/" + std::to_string(random()) + "/\"},";
    return text;
}

ItemBatch batchAfter(const Fleet::TestFleetState& fleet, Fleet::StorePosition position)
{
    return { Fleet::Queries::knownPosition(fleet.state), Fleet::Queries::itemsAfter(fleet.state, position, fleet.clock.now()), {} };
}

void publish(Fleet::TestFleetState& fleet, const std::string& value, Fleet::StorePosition position)
{
    // A large value that nothing uses would not be kept.
    fleet.decoder.publications["c=" + value] = Fleet::DataCentreEvacuated { "dc-a" };
    fleet.apply({ "c", value, position, false, {} });
}

} // namespace

// Guards against changes that take seconds to reach all nodes, because each sends the whole configuration again: its size
// in bytes has to follow the change. One route of 4,200 changed.
Test(ValuePacker, aSmallChangeOfALargeValueIsSmall)
{
    Fleet::TestFleetState sender;
    Fleet::TestFleetState receiver;
    auto before = routes(1, 4200);
    auto after = before + routes(2, 1);
    publish(sender, before, 1);
    publish(receiver, before, 1);
    publish(sender, after, 2);
    ValuePacker packer;
    auto batch = batchAfter(sender, 1);
    packer.pack(batch, sender.state, 1);
    auto bytes = encodeItems(batch);
    cr_assert_lt(bytes.size(), 1000);
    auto received = *decodeItems(bytes);
    cr_assert(unpackValues(received, receiver.state));
    cr_assert_eq(received.items.front().value, after);
    cr_assert_eq(received.items.front().position, 2);
}

// Guards against a configuration that is restored from another value than it was packed with.
Test(ValuePacker, isNotRestoredFromAnotherValue)
{
    Fleet::TestFleetState sender;
    publish(sender, routes(1, 100), 1);
    publish(sender, routes(1, 101), 3);
    ValuePacker packer;
    auto batch = batchAfter(sender, 1);
    packer.pack(batch, sender.state, 1);
    auto bytes = encodeItems(batch);

    Fleet::TestFleetState without;
    auto received = *decodeItems(bytes);
    cr_expect_not(unpackValues(received, without.state), "it has no value");

    Fleet::TestFleetState newer;
    publish(newer, routes(5, 100), 2);
    received = *decodeItems(bytes);
    cr_expect_not(unpackValues(received, newer.state), "it has the value of another revision");

    Fleet::TestFleetState different;
    publish(different, routes(5, 100), 1);
    received = *decodeItems(bytes);
    cr_expect_not(unpackValues(received, different.state), "its value of that revision is another one");
}

// Guards against a node that has just started, or is far behind, and gets differences that it can't use.
Test(ValuePacker, sendsTheWholeValueToANodeWithoutTheOneBefore)
{
    Fleet::TestFleetState sender;
    auto value = routes(3, 100);
    publish(sender, routes(1, 100), 1);
    publish(sender, routes(2, 100), 5);
    publish(sender, value, 7);
    ValuePacker packer;
    for (uint64_t receiverRevision : { 0, 1, 4 }) {
        auto batch = batchAfter(sender, receiverRevision);
        packer.pack(batch, sender.state, receiverRevision);
        cr_expect_eq(batch.packedValues.at("c").basePosition, Fleet::StorePosition());
        Fleet::TestFleetState receiver;
        auto received = *decodeItems(encodeItems(batch));
        cr_assert(unpackValues(received, receiver.state));
        cr_assert_eq(received.items.front().value, value);
    }
    // The value before is dropped after some time.
    sender.clock.advance(Fleet::FleetState::previousValueRetention + std::chrono::seconds(1));
    Fleet::Commands::expireDeletions(sender.state, sender.clock.now());
    cr_assert_null(Fleet::Queries::valueAsOf(sender.state, "c", 5));
}

// Guards against a configuration that is restored from the value of another era with the same revision.
Test(ValuePacker, isNotRestoredFromTheValueOfAnotherEra)
{
    Fleet::TestFleetState sender;
    publish(sender, routes(1, 100), { 1, 5 });
    publish(sender, routes(1, 101), { 1, 6 });
    ValuePacker packer;
    auto batch = batchAfter(sender, { 1, 5 });
    packer.pack(batch, sender.state, { 1, 5 });
    auto bytes = encodeItems(batch);

    Fleet::TestFleetState earlier;
    publish(earlier, routes(1, 100), { 0, 5 });
    auto received = *decodeItems(bytes);
    cr_expect_not(unpackValues(received, earlier.state));

    Fleet::TestFleetState same;
    publish(same, routes(1, 100), { 1, 5 });
    received = *decodeItems(bytes);
    cr_assert(unpackValues(received, same.state));
    cr_assert_eq(received.items.front().value, routes(1, 101));
}

// Guards against a receiver of the earlier era that gets a difference to a value which it does not have: the router still
// has the value before the return, and sends the difference to that one.
Test(ValuePacker, packsWithTheValueBeforeTheReturn)
{
    Fleet::TestFleetState sender;
    Fleet::TestFleetState receiver;
    publish(sender, routes(1, 4200), { 0, 50 });
    publish(receiver, routes(1, 4200), { 0, 50 });
    publish(sender, routes(1, 4200) + routes(2, 1), { 1, 4 });
    ValuePacker packer;
    auto batch = batchAfter(sender, { 0, 50 });
    packer.pack(batch, sender.state, { 0, 50 });
    auto bytes = encodeItems(batch);
    cr_assert_lt(bytes.size(), 1000);
    auto received = *decodeItems(bytes);
    cr_assert(unpackValues(received, receiver.state));
    cr_assert_eq(received.items.front().value, routes(1, 4200) + routes(2, 1));
}

// Guards against a version that a router retains but never relays: it had packed the value that the copy shows at the same
// position before it learned of the higher version.
Test(ValuePacker, packsTheValueThatIsRetainedAtThePosition)
{
    Fleet::TestFleetState sender;
    auto publishVersion = [&](const std::string& value, uint64_t version) {
        sender.decoder.publications["c=" + value] = Fleet::configurationOf(version);
        sender.apply({ "c", value, { 1, 5 }, false, {} });
    };
    ValuePacker packer;
    publishVersion(routes(1, 100), 5);
    auto batch = batchAfter(sender, 0);
    packer.pack(batch, sender.state, 0);
    publishVersion(routes(1, 101), 7);
    batch = batchAfter(sender, 0);
    packer.pack(batch, sender.state, 0);
    auto received = *decodeItems(encodeItems(batch));
    Fleet::TestFleetState receiver;
    cr_assert(unpackValues(received, receiver.state));
    cr_assert_eq(received.items.front().value, routes(1, 101));
}
