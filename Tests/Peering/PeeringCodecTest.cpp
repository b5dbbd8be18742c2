#include "Peering/PeeringCodec.h"

#include <cmath>
#include <criterion/criterion.h>
#include <limits>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

// Guards against fields of a message that are not encoded or decoded.
Test(PeeringCodec, keepsAllFieldsOfAMessage)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.dataCentre = "dc-a";
    message.isRouter = true;
    message.leaving = true;
    message.position = 7;
    message.retainedDigest = 0xfedcba9876543213;
    message.demand = 12.5;
    message.storeAge = 250ms;
    message.routers = { { "10.0.0.2", "dc-b", 30ms } };
    message.load = EngineLoad { "e", "10.0.0.3:80", 4, 2, 9, true, 3, true, 120ms, 250ms, 2.5 };
    message.crashes = { { 0xfedcba9876543210, "i-1", 1700000000002, 40ms } };
    message.declarations = { { "m", 3, 70ms } };
    message.parts.crashes = { { 0xfedcba9876543211, "i-2", 60ms, 2 } };
    message.parts.served = { { 0xfedcba9876543212, 70ms } };
    message.limits = { { "s", "i-3", 1700000000000, 2.5, 80ms }, { "s", "i-4", 1700000000001, std::nullopt, 90ms } };
    message.times = { ClockReading { 0xfedcba98, 5000000000ms }, ClockReading { 0xfedcba97, 6000000000ms } };
    auto decoded = decodeMessage(encodeMessage(message));
    cr_assert_eq(decoded->limits.size(), 2);
    cr_assert_eq(decoded->limits.front().service, "s");
    cr_assert_eq(decoded->limits.front().target, "i-3");
    cr_assert_eq(decoded->limits.front().incarnation, 1700000000000);
    cr_assert(decoded->limits.front().requestsPerSecond == 2.5);
    cr_assert_eq(decoded->limits.front().age.count(), 80);
    cr_assert_not(decoded->limits.back().requestsPerSecond.has_value());
    cr_assert_eq(decoded->times.sentAt->incarnation, 0xfedcba98);
    cr_assert(decoded->times.sentAt->time == 5000000000ms);
    cr_assert_eq(decoded->times.notSentBefore->incarnation, 0xfedcba97);
    cr_assert(decoded->times.notSentBefore->time == 6000000000ms);
    cr_assert_eq(decoded->parts.crashes.front().part, 0xfedcba9876543211);
    cr_assert_eq(decoded->parts.crashes.front().target, "i-2");
    cr_assert_eq(decoded->parts.crashes.front().age.count(), 60);
    cr_assert_eq(decoded->parts.crashes.front().position, 2);
    cr_assert_eq(decoded->parts.served.front().part, 0xfedcba9876543212);
    cr_assert_eq(decoded->parts.served.front().age.count(), 70);
    cr_assert(decoded->load->endedAgo == 250ms);
    cr_assert_float_eq(decoded->load->pace, 2.5, 1e-9);
    cr_assert_eq(decoded->declarations.size(), 1);
    cr_assert_eq(decoded->declarations.front().model, "m");
    cr_assert_eq(decoded->declarations.front().version, 3);
    cr_assert(decoded->declarations.front().age == 70ms);
    cr_assert_eq(decoded->crashes.front().fingerprint, 0xfedcba9876543210);
    cr_assert_eq(decoded->crashes.front().incarnation, 1700000000002);
    cr_assert_eq(decoded->crashes.front().target, "i-1");
    cr_assert_eq(decoded->crashes.front().age.count(), 40);
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->sender, "10.0.0.1");
    cr_assert(decoded->isRouter && decoded->leaving);
    cr_assert_eq(decoded->position, 7);
    cr_assert_eq(decoded->retainedDigest, 0xfedcba9876543213);
    cr_assert_float_eq(decoded->demand, 12.5, 1e-9);
    cr_assert(decoded->storeAge == 250ms);
    cr_assert_eq(decoded->routers.front().age.count(), 30);
    cr_assert_eq(decoded->load->granted, 3);
    cr_assert(decoded->load->cold);
    cr_assert(decoded->load->abortsIn == 120ms);
    cr_assert_eq(decoded->load->wholeVersion, 9);
    cr_assert(decoded->load->paused);
}

// Guards against a message to many receivers that bears the times of another one, or none.
Test(PeeringCodec, appendedTimesBelongToTheMessage)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.position = 7;
    auto bytes = encodeMessage(message);
    cr_assert_not(decodeMessage(bytes)->times.sentAt.has_value());
    MessageTimes times { ClockReading { 1, 5000000000ms }, ClockReading { 2, 6000000000ms } };
    auto appended = encodeTimes(times);
    auto decoded = decodeMessage(bytes + appended);
    cr_assert_eq(decoded->sender, "10.0.0.1");
    cr_assert_eq(decoded->position, 7);
    cr_assert(decoded->times.sentAt->time == 5000000000ms);
    cr_assert_eq(decoded->times.notSentBefore->incarnation, 2);
    cr_log_info("bytes of the times: %zu", appended.size());
    cr_assert_leq(appended.size(), 25);
}

// Guards against an overflow of sums with the times of a malformed message.
Test(PeeringCodec, dropsImpossibleTimes)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    for (auto time : { std::chrono::milliseconds::max(), std::chrono::milliseconds(-1), std::chrono::milliseconds(101 * 8760h) }) {
        message.times = { ClockReading { 1, time }, ClockReading { 2, time } };
        auto decoded = decodeMessage(encodeMessage(message));
        cr_assert(decoded.has_value());
        cr_assert_not(decoded->times.sentAt.has_value());
        cr_assert_not(decoded->times.notSentBefore.has_value());
    }
}

// Guards against crash reports that do not fit into a datagram, which the receiver would cut and drop.
Test(PeeringCodec, theMostReportsFitIntoADatagram)
{
    NodeMessage message;
    message.sender = "255.255.255.255";
    message.dataCentre = "a-data-centre-with-a-long-name";
    message.isRouter = true;
    message.position = UINT64_MAX;
    message.storeAge = 100000ms;
    message.times = { ClockReading { UINT32_MAX, 99 * 8760h }, ClockReading { UINT32_MAX, 99 * 8760h } };
    auto empty = encodeMessage(message).size();
    const std::string target = "a-target-with-an-id-of-32-bytes-";
    message.parts.crashes.assign(maximumPartCrashesPerMessage, { UINT64_MAX, target, 600000ms, 31 });
    auto withCrashes = encodeMessage(message).size();
    message.parts.served.assign(maximumPartsServedPerMessage, { UINT64_MAX, 600000ms });
    auto withServed = encodeMessage(message).size();
    message.crashes.assign(maximumCrashesPerMessage, { UINT64_MAX, target, UINT64_MAX, 60000ms });
    message.limits.assign(maximumLimitsPerMessage, { target, target, UINT64_MAX, 0.1, 600000ms });
    message.urgencyDemand.bands.fill({ 0.1, 1000, 0.1 });
    message.load = EngineLoad { target, target, UINT32_MAX, UINT32_MAX, UINT64_MAX, true, UINT32_MAX, true, 100000ms, 100000ms, 20, Scheduling::ReuseLimit { 3, 0.1 } };
    auto full = encodeMessage(message).size();
    cr_log_info("bytes: %zu, a part's crash %zu, a served part %zu, full %zu", empty, (withCrashes - empty) / maximumPartCrashesPerMessage, (withServed - withCrashes) / maximumPartsServedPerMessage, full);
    cr_assert_leq(full, maximumMessageBytes);
}

// Guards against a crash on datagrams from other programs.
Test(PeeringCodec, rejectsInvalidBytes)
{
    cr_assert_not(decodeMessage("GET / HTTP/1.1\r\n\r\n").has_value());
    cr_assert_not(decodeMessage("").has_value());
    cr_assert_not(decodeItems("\x0f\x0f\x0f").has_value());
}

// Guards against values that change when they are relayed. A value may contain arbitrary bytes.
Test(PeeringCodec, preservesItemsByteForByte)
{
    std::string bytes("\0\xff\n", 3);
    auto decoded = decodeItems(encodeItems({ 9, { { "k", bytes, 8, false, 1500ms }, { "d", "", 9, true, 0ms, true, 700ms } } }));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->position, 9);
    cr_assert(decoded->items[0].value == bytes);
    cr_assert_eq(decoded->items[0].age.count(), 1500);
    cr_assert(decoded->items[1].deleted);
    cr_assert(decoded->items[1].ageIsBound);
    cr_assert_eq(decoded->items[1].deletionDelay.count(), 700);
}

// Guards against a router that never catches up because peers refuse a batch with an odd key in it. Keys are UTF-8, as
// the store's responses are; a batch with another key would be refused whole.
Test(PeeringCodec, relaysOddKeys)
{
    using namespace std::string_literals;
    for (auto& key : { ""s, "servers/\0"s, "servers/a\r\nA: b"s, "servers/\xc3\xa4\xef\xbf\xbd"s, std::string(100000, 'k') }) {
        auto decoded = decodeItems(encodeItems({ 9, { { key, "odd", 8, false, 0ms }, { "k", "v", 9, false, 0ms } } }));
        cr_assert(decoded.has_value());
        cr_assert(decoded->items.size() == 2 && decoded->items[0].key == key);
    }
    cr_assert_not(decodeItems(encodeItems({ 9, { { "servers/\xff", "odd", 8, false, 0ms } } })).has_value());
}

// Guards against numbers of a damaged or foreign message that no limit can have.
Test(PeeringCodec, dropsImpossibleLimits)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    for (double rate : { -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(), 3.0 })
        message.limits.push_back({ "s", "i-1", 1, rate, 0ms });
    auto decoded = decodeMessage(encodeMessage(message));
    cr_assert_eq(decoded->limits.size(), 1);
    cr_assert(decoded->limits.front().requestsPerSecond == 3.0);
}

// Guards against demands that do not reach the agents.
Test(PeeringCodec, preservesDemands)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.urgencyDemand.bands[0] = { 1.5, 3, 2.5 };
    message.urgencyDemand.bands[2] = { 0, 20, 0 };
    message.load = EngineLoad {};
    message.load->reuse = Scheduling::ReuseLimit { 2, 0.25 };
    auto decoded = decodeMessage(encodeMessage(message));
    cr_assert_eq(decoded->clampedDemands, 0);
    cr_assert_float_eq(decoded->urgencyDemand.bands[0].requestsPerSecond, 1.5, 1e-9);
    cr_assert_eq(decoded->urgencyDemand.bands[0].waiting, 3);
    cr_assert_float_eq(decoded->urgencyDemand.bands[0].startsPerSecond, 2.5, 1e-9);
    cr_assert_eq(decoded->urgencyDemand.bands[2].waiting, 20);
    cr_assert(decoded->urgencyDemand.bands[1].isEmpty());
    cr_assert_eq(decoded->load->reuse->urgency, 2);
    cr_assert_float_eq(decoded->load->reuse->requestsPerSecond, 0.25, 1e-9);
    message.load->reuse = std::nullopt;
    cr_assert_not(decodeMessage(encodeMessage(message))->load->reuse.has_value());
}

// Guards against numbers of a faulty router that would give it the slots of all others, or that no computation survives.
Test(PeeringCodec, clampsDemands)
{
    for (auto rate : { -1.0, std::numeric_limits<double>::infinity(), std::nan(""), 1e300 }) {
        NodeMessage message;
        message.sender = "10.0.0.1";
        message.demand = rate;
        message.urgencyDemand.bands[1] = { rate, UINT32_MAX, rate };
        message.load = EngineLoad {};
        message.load->reuse = Scheduling::ReuseLimit { 1, rate };
        auto decoded = decodeMessage(encodeMessage(message));
        cr_assert(decoded.has_value());
        cr_assert_eq(decoded->clampedDemands, 2);
        auto expected = rate > 1e9 && std::isfinite(rate) ? 10000.0 : 0.0;
        cr_assert_float_eq(decoded->demand, expected, 1e-9);
        cr_assert_float_eq(decoded->urgencyDemand.bands[1].requestsPerSecond, expected, 1e-9);
        cr_assert_eq(decoded->urgencyDemand.bands[1].waiting, 1000);
        cr_assert_float_eq(decoded->load->reuse->requestsPerSecond, expected, 1e-9);
    }
}

// Guards against messages that grow with the fleet: the demand has a fixed number of bands.
Test(PeeringCodec, aDemandIsSmall)
{
    NodeMessage message;
    message.sender = "255.255.255.255";
    auto without = encodeMessage(message).size();
    message.urgencyDemand.bands.fill({ 123.456, 1000, 123.456 });
    auto added = encodeMessage(message).size() - without;
    cr_log_info("bytes of a demand: %zu", added);
    cr_assert_leq(added, 4 * 28);
}

// Guards against a position that loses its era on the way: a revision of the earlier era looked newer than what followed.
Test(PeeringCodec, keepsTheErasOfPositions)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.position = { 3, 7 };
    cr_assert(decodeMessage(encodeMessage(message))->position == Fleet::StorePosition(3, 7));
    ItemBatch batch;
    batch.position = { 3, 9 };
    batch.items = { { "a", "1", { 2, 8 }, false, {} }, { "b", "", { 3, 6 }, true, {} } };
    batch.packedValues["a"] = { "packed", { 1, 5 }, 77 };
    auto decoded = decodeItems(encodeItems(batch));
    cr_assert(decoded->position == Fleet::StorePosition(3, 9));
    cr_assert(decoded->items.front().position == Fleet::StorePosition(2, 8));
    cr_assert(decoded->items.back().position == Fleet::StorePosition(3, 6));
    cr_assert(decoded->packedValues.at("a").basePosition == Fleet::StorePosition(1, 5));
}

// Guards against messages of nodes that do not know eras, and of those that never met one: they have the era 0, and take no
// more bytes than before.
Test(PeeringCodec, messagesWithoutAnEraHaveTheFirst)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.position = 7;
    // Field 19 of Heartbeat would begin with these bytes.
    cr_assert_eq(encodeMessage(message).find("\x98\x01"), std::string::npos);
    cr_assert(decodeMessage(encodeMessage(message))->position == Fleet::StorePosition(0, 7));
    ItemBatch batch { 9, { { "a", "1", 8, false, {} } } };
    auto decoded = decodeItems(encodeItems(batch));
    cr_assert(decoded->position == Fleet::StorePosition(0, 9));
    cr_assert(decoded->items.front().position == Fleet::StorePosition(0, 8));
}

// Guards against an engine that counts as infinitely slow, or as of no speed at all, because its agent reports nonsense.
Test(PeeringCodec, boundsThePaceOfAnEngine)
{
    for (double pace : { std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(), -3.0, 1e9 }) {
        NodeMessage message;
        message.sender = "10.0.0.1";
        message.load = EngineLoad {};
        message.load->pace = pace;
        auto decoded = decodeMessage(encodeMessage(message));
        cr_assert(decoded && decoded->load);
        cr_expect(decoded->load->pace >= 0 && decoded->load->pace <= 20, "%f", pace);
    }
}
