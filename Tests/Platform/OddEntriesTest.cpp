#include "platform/EngineCodec.h"
#include "platform/StoreCodec.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;

namespace {

// The largest value that the store accepts.
constexpr size_t maximumValueBytes = 1024 * 1024;

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

// Guards against the end of a process by an exception, whatever a value is.
Test(OddEntries, noValueEndsTheProcess)
{
    using namespace std::string_literals;
    for (auto& value : { ""s, "\0"s, "\xff\xfe"s, "null"s, "true"s, "\"\""s, "7"s, "-"s, "1e999"s, "[]"s, "[[]]"s, "{}"s, "{\"a\":1,\"a\":2}"s, "{\"version\":[]}"s, "{\"version\":1,\"routes\":{},\"limits\":[],\"tenants\":7}"s, "{\"version\":1,\"routes\":[7]}"s, "\xef\xbb\xbf"s, "\"\\ud800\""s }) {
        for (auto* key : { "servers/i-1", "servers/", "op/config", "op/version/m", "op/version/", "op/evacuate/", "other", "" })
            StoreCodec().decode({ key, value, 5, false, {} });
    }
}
