#include "platform/StoreCodec.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;

namespace {

const std::string goodEntry = R"({"service":"s","address":"10.0.0.9:8080","zone":"dc-a","version":"v1","slots":16,"state":"ready","cold_remaining_ms":1500,"layers":{"from":0,"to":16,"version":3},"sequence":4,"new_field":1})";

Fleet::Publication decodeEntry(const std::string& value)
{
    return StoreCodec().decode({ "servers/i-1", value, 5, false, {} });
}

} // namespace

// Guards against misreading the entry of a target. Unknown fields are ignored.
Test(StoreCodec, readsTheEntryOfATarget)
{
    auto publication = decodeEntry(goodEntry);
    auto* target = std::get_if<Fleet::TargetPublished>(&publication);
    cr_assert(target);
    cr_assert_eq(target->entry.id, "i-1");
    cr_assert_eq(target->entry.address.port, 8080);
    cr_assert_eq(target->entry.slots, 16);
    cr_assert_eq(target->entry.coldRemaining.count(), 1500);
    cr_assert_not(target->entry.draining);
    cr_assert(target->entry.layers == (Fleet::HeldLayers { 0, 16, 3 }));
    cr_assert_eq(Fleet::wholeVersionOf(target->entry.layers, 16), 3);
    cr_assert_eq(Fleet::wholeVersionOf(target->entry.layers, 32), 0);
}

// Guards against using a target whose entry was corrupted by another writer.
Test(StoreCodec, rejectsACorruptEntry)
{
    auto replaced = [](const std::string& from, const std::string& to) {
        auto entry = goodEntry;
        entry.replace(entry.find(from), from.size(), to);
        return entry;
    };
    for (auto& corrupt : { std::string("{"), std::string("[]"), std::string("\xff\xfe"), replaced("\"s\"", "7"), replaced("\"ready\"", "\"resting\""), replaced("10.0.0.9:8080", "nowhere"), replaced("16,\"state\"", "\"many\",\"state\""), replaced("\"zone\"", "\"zones\"") }) {
        auto publication = decodeEntry(corrupt);
        cr_expect(std::holds_alternative<Fleet::Unreadable>(publication), "%s was accepted", corrupt.c_str());
    }
}

// Guards against misreading values, and against rejecting a whole batch because of one item.
Test(StoreCodec, readsChanges)
{
    Http::HttpResponse response { 200, {}, R"({"events":[{"key":"op/version/m","value":"eyJtb2RlbCI6Im0iLCJ2ZXJzaW9uIjoyfQ==","revision":8,"create_revision":8,"lease":0},{"key":"servers/i-1","revision":9,"deleted":true},{"no_key":1},{"key":"servers/i-2","value":"%%%","revision":10}],"as_of":10})" };
    auto changes = StoreCodec().readChanges(response);
    cr_assert(Base::succeeded(changes));
    auto& items = Base::valueOf(changes).changes;
    cr_assert_eq(Base::valueOf(changes).position, 10);
    cr_assert_eq(items.size(), 3);
    auto publication = StoreCodec().decode(items[0]);
    auto* declared = std::get_if<Fleet::WeightsDeclared>(&publication);
    cr_assert(declared && declared->model == "m" && declared->version == 2);
    cr_assert(items[1].deleted);
    cr_assert(std::holds_alternative<Fleet::Unreadable>(StoreCodec().decode(items[2])));
}

// Guards against positions without the era of the store. A header that is no number is as good as none.
Test(StoreCodec, readsTheEra)
{
    const std::string listing = R"({"items":[{"key":"op/evacuate/dc-a","value":"","revision":8}],"more_pages":false,"as_of":10})";
    const std::string changes = R"({"events":[{"key":"servers/i-1","revision":9,"deleted":true}],"as_of":10})";
    auto eraOf = [&](const Http::HttpHeaders& headers) {
        auto page = StoreCodec().readList({ 200, headers, listing });
        auto batch = StoreCodec().readChanges({ 200, headers, changes });
        cr_assert(Base::succeeded(page) && Base::succeeded(batch));
        auto position = Base::valueOf(page).position;
        cr_assert_eq(position.revision, 10);
        cr_assert(Base::valueOf(page).items.front().position == Fleet::StorePosition(position.era, 8));
        cr_assert(Base::valueOf(batch).position == position);
        cr_assert(Base::valueOf(batch).changes.front().position == Fleet::StorePosition(position.era, 9));
        return position.era;
    };
    cr_assert_eq(eraOf({ { "Store-Era", "3" } }), 3);
    cr_assert_eq(eraOf({ { "store-era", "18446744073709551615" } }), UINT64_MAX);
    cr_assert_eq(eraOf({}), 0);
    for (auto* value : { "", "-1", "3 4", "x", "18446744073709551616" })
        cr_assert_eq(eraOf({ { "Store-Era", value } }), 0);
}

// Guards against confusing a rejected request with lost history.
Test(StoreCodec, distinguishesRejectionFromLostHistory)
{
    auto kindOf = [](unsigned status) { return Base::errorOf(StoreCodec().readChanges({ status, {}, "" })).kind; };
    cr_assert(kindOf(410) == Fleet::StoreErrorKind::HistoryLost);
    cr_assert(kindOf(429) == Fleet::StoreErrorKind::Refused);
    cr_assert(kindOf(503) == Fleet::StoreErrorKind::Refused);
    cr_assert(kindOf(200) == Fleet::StoreErrorKind::Malformed);
}

// Guards against requests that the platform does not accept.
Test(StoreCodec, encodesRequests)
{
    StoreCodec codec;
    cr_assert_eq(codec.listRequest("").target, "/api/kv-range?prefix=");
    cr_assert_eq(codec.listRequest("servers/i 1").target, "/api/kv-range?prefix=&after=servers/i%201");
    cr_assert_eq(codec.watchRequest(12, std::chrono::milliseconds(8000)).target, "/api/kv-watch?prefix=&after=12&wait_ms=8000");
}

// Guards against misreading routes, API keys and services in the operators' configuration.
Test(StoreCodec, readsTheConfiguration)
{
    const std::string document = R"({"version":7,"routes":[
        {"name":"short","host":"h","prefix":"/a/","kind":"safe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"s","max_attempts":2,"public":true},
        {"name":"long","host":"h","prefix":"/a/b/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"priority":1,"traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10},{"service":"u","weight":0}],"max_attempts":2,"resumable":true,"gap_aim_ms":300,"allowed_regions":["r"]},
        {"name":"once","host":"g","prefix":"/","kind":"unsafe","service":"s"}],
        "services":[{"name":"s","engine":{"layers":16,"chunks":48,"chunk_bytes":100,"models":[{"name":"m","warm_s":0.3}]},"cold_start_s":3.0,"cold_per_s":28.0},{"name":"o","origin":"172.20.0.3:8006","engine":{"step_ms":10,"per_seq_ms":0.5,"context_per_k":0.1,"read_per_s":9000,"pairs_per_m":1,"chunk":512,"stride":4,"usual":{"prompt":900,"answer":100}}}],
        "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
        "tenants":[{"name":"n","api_keys":["k1","k2"],"priority":1,"allowed_regions":["r"]}]})";
    auto publication = StoreCodec().decode({ "op/config", document, 1, false, {} });
    auto* published = std::get_if<Fleet::ConfigurationPublished>(&publication);
    cr_assert(published);
    auto& configuration = *published->configuration;
    cr_assert_eq(configuration.version, 7);
    auto& routes = configuration.routes.at("h");
    cr_assert_eq(routes[0]->name, "long");
    cr_assert(routes[0]->kind == Fleet::RequestKind::Stream && routes[0]->isRepeatable());
    cr_assert_eq(routes[0]->services.size(), 2, "a service with weight 0 gets no requests");
    cr_assert_eq(routes[0]->maximumEventGap.count(), 300);
    cr_assert(routes[1]->isPublic && routes[1]->kind == Fleet::RequestKind::Idempotent);
    cr_assert_not(configuration.routes.at("g")[0]->isRepeatable());
    cr_assert_eq(configuration.services.at("s").weights->pieces, 48);
    cr_assert_not(configuration.services.at("s").engineModel, "the speed of the engines is not given");
    cr_assert(configuration.services.at("o").engineModel);
    cr_assert_eq(configuration.services.at("o").origin->port, 8006);
    cr_assert_eq(configuration.limits.maximumBodyBytes, 2000);
    cr_assert(configuration.hasOrganisations);
    cr_assert_eq(configuration.organisationsByKey.at("k2")->name, "n");
}

// Guards against accepting a configuration without a version.
Test(StoreCodec, rejectsAConfigurationWithoutAVersion)
{
    auto publication = StoreCodec().decode({ "op/config", R"({"routes":[]})", 1, false, {} });
    cr_assert(std::holds_alternative<Fleet::Unreadable>(publication));
}

// Guards against a buffer overflow: the base64 decoder wrote past the buffer if a value had no padding.
Test(StoreCodec, rejectsAValueWithoutPadding)
{
    for (size_t length : { 21u, 22u, 23u }) {
        auto value = std::string("eyJtb2RlbCI6Im0iLCJ2ZXJ").substr(0, length);
        auto changes = StoreCodec().readChanges({ 200, {}, R"({"events":[{"key":"op/version/m","value":")" + value + R"(","revision":8}],"as_of":8})" });
        cr_assert(Base::succeeded(changes));
        auto publication = StoreCodec().decode(Base::valueOf(changes).changes.front());
        cr_assert(std::holds_alternative<Fleet::Unreadable>(publication));
    }
}
