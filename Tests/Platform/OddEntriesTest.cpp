#include "platform/EngineCodec.h"
#include "platform/HeaderCodec.h"
#include "platform/StoreCodec.h"

#include <criterion/criterion.h>
#include <numeric>
#include <sys/resource.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;
using namespace std::chrono_literals;

namespace {

// The largest value that the store accepts.
constexpr size_t maximumValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds longestDuration = 24h;

const std::string readableEntry = R"({"service":"s","address":"10.0.0.9:8080","zone":"dc-a","slots":16,"state":"ready","cold_remaining_ms":1500,"layers":{"from":0,"to":16,"version":3}})";

std::string repeated(const std::string& text, size_t bytes)
{
    std::string all;
    while (all.size() + text.size() <= bytes)
        all += text;
    return all;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    cr_assert_neq(text.find(from), std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

Fleet::Publication decode(const std::string& key, const std::string& value)
{
    return StoreCodec().decode({ key, value, 5, false, {} });
}

bool isUnreadable(const std::string& key, const std::string& value)
{
    return std::holds_alternative<Fleet::Unreadable>(decode(key, value));
}

bool isUnreadableEntry(const std::string& from, const std::string& to)
{
    return isUnreadable("servers/i-1", replaced(readableEntry, from, to));
}

// The most memory that the process has used so far.
size_t peakMemoryBytes()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<size_t>(usage.ru_maxrss) * 1024;
}

// Deeply nested documents, and a flat one whose values take many times their size.
std::vector<std::string> oversizedDocuments()
{
    constexpr size_t depth = 500000;
    auto closed = std::string(depth, '[') + std::string(depth, ']');
    return {
        std::string(maximumValueBytes, '['),
        repeated("{\"a\":", maximumValueBytes),
        "{\"version\":1,\"a\":" + closed + "}",
        replaced(readableEntry, "{\"service\"", "{\"a\":" + closed + ",\"service\""),
        "{\"a\":[{}" + repeated(",{}", maximumValueBytes - 100) + "]}",
    };
}

Fleet::Configuration readConfiguration(const std::string& document)
{
    auto publication = decode("op/config", document);
    auto* published = std::get_if<Fleet::ConfigurationPublished>(&publication);
    cr_assert(published, "%s", document.c_str());
    return *published->configuration;
}

Fleet::Route readRoute(const std::string& fields)
{
    auto configuration = readConfiguration(R"({"version":1,"routes":[{"host":"h","prefix":"/","service":"s",)" + fields + "}]}");
    return *configuration.routes.at("h").front();
}

uint64_t totalWeight(const Fleet::Route& route)
{
    return std::accumulate(route.services.begin(), route.services.end(), uint64_t { 0 }, [](uint64_t sum, auto& part) { return sum + part.weight; });
}

bool isBounded(std::chrono::milliseconds duration)
{
    return duration >= 0ms && duration <= longestDuration;
}

std::vector<std::string> keysOf(const std::vector<Fleet::PublishedItem>& items)
{
    std::vector<std::string> keys;
    for (auto& item : items)
        keys.push_back(item.key);
    return keys;
}

} // namespace

// Guards against a process that ends for lack of memory because another writer left a value of a million nested arrays:
// each byte of it took about seventy bytes while it was parsed.
Test(OddEntries, aNestedValueTakesLittleMemory)
{
    constexpr size_t allowedBytes = 24 * 1024 * 1024;
    auto documents = oversizedDocuments();
    auto before = peakMemoryBytes();
    for (auto& document : documents) {
        for (auto* key : { "servers/i-1", "op/config", "op/version/m" })
            cr_expect(isUnreadable(key, document), "%s: %.40s", key, document.c_str());
    }
    cr_assert_lt(peakMemoryBytes() - before, allowedBytes, "%zu bytes", peakMemoryBytes() - before);
}

// Guards against the same in what an engine or the weight origin sends.
Test(OddEntries, aNestedReportTakesLittleMemory)
{
    constexpr size_t allowedBytes = 24 * 1024 * 1024;
    auto documents = oversizedDocuments();
    auto before = peakMemoryBytes();
    for (auto& document : documents) {
        cr_expect_not(Base::succeeded(EngineCodec().readReport({ 200, {}, document })));
        cr_expect_not(Base::succeeded(EngineCodec().readManifest({ 200, {}, document })));
    }
    cr_assert_lt(peakMemoryBytes() - before, allowedBytes, "%zu bytes", peakMemoryBytes() - before);
}

// Guards against log lines of a megabyte: the parser's message quotes the text that it read last.
Test(OddEntries, theReasonIsShort)
{
    auto publication = decode("servers/i-1", "{\"" + std::string(maximumValueBytes - 10, 'x') + "\n");
    auto* unreadable = std::get_if<Fleet::Unreadable>(&publication);
    cr_assert(unreadable);
    cr_assert_leq(unreadable->reason.size(), 300);
}

// Guards against a number that is out of range: its conversion is undefined, differs between processors, and turned 2^32
// + 16 slots into 16.
Test(OddEntries, anEntryWithANumberOutOfRangeNamesNoTarget)
{
    for (auto* number : { "-1", "4000000000", "4294967312", "18446744073709551615", "18446744073709551632", "1e300", "1e999", "-1e300", "NaN", "Infinity", "\"16\"", "null" })
        cr_expect(isUnreadableEntry("16,\"state\"", std::string(number) + ",\"state\""), "slots %s", number);
    for (auto* number : { "9e15", "1e19", "1e300", "-1e300", "1e999", "9223372036854775807", "18446744073709551615", "NaN", "\"1500\"", "null" })
        cr_expect(isUnreadableEntry("1500", number), "cold_remaining_ms %s", number);
}

// Guards against an engine without weights that counts as complete: 2^32 + 16 layers were read as 16.
Test(OddEntries, layersOutOfRangeAreNoWholeWeights)
{
    for (auto* layers : { R"({"from":0,"to":4294967312,"version":3})", R"({"from":4294967296,"to":4294967312,"version":3})", R"({"from":0,"to":1000000000000000000,"version":3})",
             R"({"from":-1,"to":16,"version":3})", R"({"from":0,"to":1e300,"version":3})", R"([[[]]])" }) {
        auto publication = decode("servers/i-1", replaced(readableEntry, R"({"from":0,"to":16,"version":3})", layers));
        auto* target = std::get_if<Fleet::TargetPublished>(&publication);
        cr_expect(!target || Fleet::wholeVersionOf(target->entry.layers, 16) == 0, "%s", layers);
    }
}

// Guards against the end of a router by a division by zero: the weights of a route are added up, and fractions were
// truncated to zero.
Test(OddEntries, weightsOfARouteNeverAddUpToZero)
{
    auto route = readRoute(R"("traffic_split":[{"service":"s","weight":0.75},{"service":"t","weight":0.25}])");
    cr_assert_eq(route.services.size(), 2);
    cr_assert_gt(totalWeight(route), 0);
    cr_assert_eq(route.services[0].weight, 3 * route.services[1].weight);
    for (auto* weight : { "1e-300", "4294967296", "1e300", "18446744073709551615" })
        cr_expect_gt(totalWeight(readRoute(R"("traffic_split":[{"service":"s","weight":)" + std::string(weight) + "}]")), 0, "%s", weight);
    for (auto* weight : { "0", "-1", "-1e300", "\"1\"" }) {
        auto unused = readRoute(R"("traffic_split":[{"service":"t","weight":)" + std::string(weight) + "}]");
        cr_expect_eq(unused.services.front().service, "s", "%s", weight);
    }
}

// Guards against undefined conversions of the configuration's numbers, and against times whose sum with the clock
// overflows.
Test(OddEntries, numbersOfTheConfigurationStayInRange)
{
    for (std::string number : { "-1", "-1e300", "1e300", "9223372036854775807", "18446744073709551615", "1e19" }) {
        auto route = readRoute("\"timeout_ms\":" + number + ",\"target_latency_ms\":" + number + ",\"gap_aim_ms\":" + number + ",\"priority\":" + number + ",\"max_attempts\":" + number);
        cr_expect(isBounded(route.timeout) && isBounded(route.targetLatency) && isBounded(route.maximumEventGap), "%s", number.c_str());
        cr_expect(route.priority >= 0 && route.priority <= 1000, "%s", number.c_str());
        cr_expect(route.maximumAttempts >= 1 && route.maximumAttempts <= 1000, "%s", number.c_str());
        auto configuration = readConfiguration(R"({"version":1,"services":[{"name":"s","max_connections":)" + number + ",\"cold_start_s\":" + number + ",\"cold_per_s\":" + number + ",\"engine\":{\"chunks\":" + number + ",\"layers\":" + number
            + R"(}}],"tenants":[{"name":"n","api_keys":["k"],"priority":)" + number + R"(}],"limits":{"header_timeout_ms":)" + number + ",\"idle_timeout_ms\":" + number + "}}");
        auto& service = configuration.services.at("s");
        cr_expect(isBounded(service.coldStart), "%s", number.c_str());
        cr_expect(service.coldRequestsPerSecond >= 0 && service.coldRequestsPerSecond <= 1e9, "%s", number.c_str());
        cr_expect(isBounded(configuration.limits.headerTimeout) && isBounded(configuration.limits.idleTimeout), "%s", number.c_str());
        auto priority = configuration.organisationsByKey.at("k")->priority;
        cr_expect(priority && *priority >= 0 && *priority <= 1000, "%s", number.c_str());
    }
}

// Guards against times in header fields whose sum with the clock overflows.
Test(OddEntries, timesInHeaderFieldsStayInRange)
{
    for (std::string number : { "18446744073709551615", "9223372036854775808", "9223372036854775807", "10000000000000000" }) {
        auto request = HeaderCodec().readRequestHead({ { "Lavenderloft-Deadline-Ms", number } });
        cr_expect(!request.deadline || isBounded(*request.deadline), "%s", number.c_str());
        auto response = HeaderCodec().readResponseHead(200, { { "Lavenderloft-Cold-Ms", number }, { "Keep-Alive", "timeout=" + number } });
        cr_expect(!response.coldRemaining || isBounded(*response.coldRemaining), "%s", number.c_str());
        cr_expect(!response.keepAlive || isBounded(*response.keepAlive), "%s", number.c_str());
    }
}

// Guards against requests to an address that is none: port 0 was accepted, and so were bytes behind an address that is
// cut off at a NUL byte or continued by a scope, which then went into a header field.
Test(OddEntries, anEntryWithAnOddAddressNamesNoTarget)
{
    for (auto* address : { "", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "10.0.0.9:-1", "10.0.0.9:80/path", "10.0.0.9/path:80", "host:80", "10.0.0.9 :80",
             R"(10.0.0.9\u0000:80)", R"(10.0.0.9\u0000\r\nA: b:80)", R"(fe80::1%\r\nA: b:80)", R"(10.0.0.9\r\nA: b:80)" })
        cr_expect(isUnreadableEntry("10.0.0.9:8080", address), "%s", address);
    cr_assert_not(isUnreadableEntry("10.0.0.9:8080", "::1:8080"));
}

// Guards against forged header fields: the id of a target goes into a header field of each request to it.
Test(OddEntries, anOddIdNamesNoTarget)
{
    using namespace std::string_literals;
    for (auto& id : { ""s, "a\r\nA: b"s, "a\n"s, "a\0b"s, "a\x7f"s, "\x1b[2J"s, " a"s, "a "s, std::string(1000, 'a') })
        cr_expect(isUnreadable("servers/" + id, readableEntry), "%s", id.c_str());
    cr_assert(isUnreadableEntry("\"s\"", "\"\""), "a service without a name");
    for (auto& id : { "i-7f3a91c2"s, "a b"s, "\xc3\xa4"s, std::string(190, 'a') })
        cr_expect_not(isUnreadable("servers/" + id, readableEntry), "%s", id.c_str());
}

// Guards against a response that can't be read because of one item: the listing never ended, or the watch stopped.
Test(OddEntries, anOddItemDoesNotHideTheOthers)
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::string items = R"([{"key":"servers/a","value":"","revision":1},)"
                              R"({"key":"servers/b","value":"","revision":2,"lease":1e999},)"
                              R"({"key":"servers/c","value":"","revision":3,"lease":)"
        + deep + R"(},{"key":"servers/\udc80","value":"","revision":4},{"key":")" + "servers/\xff" + R"(","value":"","revision":5},)"
        + deep + R"(,7,null,"text]}",{},{"key":7,"revision":6},{"key":"servers/d","revision":-1},{"key":"servers/e","value":[1],"revision":7},)"
                 R"({"value":"\ud800","revision":8,"key":"servers/f"},{"key":"servers/g\"]}\\","value":"","revision":9}])";
    const std::vector<std::string> expected { "servers/a", "servers/b", "servers/c", "servers/e", "servers/f", "servers/g\"]}\\" };
    auto page = StoreCodec().readList({ 200, {}, "{\"items\":" + items + ",\"more_pages\":true,\"as_of\":9}" });
    cr_assert(Base::succeeded(page));
    cr_expect(keysOf(Base::valueOf(page).items) == expected);
    cr_expect(Base::valueOf(page).morePages);
    auto changes = StoreCodec().readChanges({ 200, {}, " { \"as_of\" : 9 , \"events\" : " + items + " } " });
    cr_assert(Base::succeeded(changes));
    cr_expect(keysOf(Base::valueOf(changes).changes) == expected);
    cr_expect_eq(Base::valueOf(changes).position, 9);
}

// Guards against following a response that was cut off or is none.
Test(OddEntries, anIncompleteResponseIsMalformed)
{
    const std::string whole = R"({"items":[{"key":"servers/a","value":"","revision":1}],"events":[],"more_pages":false,"as_of":9})";
    for (size_t length = 0; length < whole.size(); ++length) {
        cr_expect_not(Base::succeeded(StoreCodec().readList({ 200, {}, whole.substr(0, length) })), "%zu bytes", length);
        cr_expect_not(Base::succeeded(StoreCodec().readChanges({ 200, {}, whole.substr(0, length) })), "%zu bytes", length);
    }
    for (std::string body : { whole + "}", whole + whole, "[" + whole + "]", std::string(R"({"items":[],"as_of":1e999})"), std::string(R"({"items":[],"as_of":-1})"), std::string(R"({"items":{},"as_of":9})"), std::string(R"({"as_of":9})"), std::string("{\"a\"}"), std::string("{]"), std::string("{\"items\":[}],\"as_of\":1}"), std::string(1000000, '[') })
        cr_expect_not(Base::succeeded(StoreCodec().readList({ 200, {}, body })), "%.60s", body.c_str());
}

// Guards against rejecting an empty response because it names no array.
Test(OddEntries, anEmptyResponseIsReadable)
{
    for (auto* body : { R"({"items":[],"events":[],"as_of":9})", R"({"items":null,"events":null,"as_of":9})" }) {
        cr_expect(Base::succeeded(StoreCodec().readList({ 200, {}, body })), "%s", body);
        cr_expect(Base::succeeded(StoreCodec().readChanges({ 200, {}, body })), "%s", body);
    }
    cr_assert(Base::succeeded(StoreCodec().readChanges({ 200, {}, R"({"as_of":9})" })));
}

// Guards against the end of a process by an exception, whatever a value is.
Test(OddEntries, noValueEndsTheProcess)
{
    using namespace std::string_literals;
    for (auto& value : { ""s, "\0"s, "\xff\xfe"s, "null"s, "true"s, "\"\""s, "7"s, "-"s, "1e999"s, "[]"s, "[[]]"s, "{}"s, "{\"a\":1,\"a\":2}"s, "{\"version\":[]}"s, "{\"version\":1,\"routes\":{},\"limits\":[],\"tenants\":7}"s, "{\"version\":1,\"routes\":[7]}"s, "\xef\xbb\xbf"s, "\"\\ud800\""s }) {
        for (auto* key : { "servers/i-1", "servers/", "op/config", "op/version/m", "op/version/", "op/evacuate/", "other", "" })
            StoreCodec().decode({ key, value, 5, false, {} });
    }
}
