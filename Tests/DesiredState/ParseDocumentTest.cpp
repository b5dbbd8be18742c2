#include "DesiredState/Queries/ParseDocument.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace Lavenderloft;
using namespace Lavenderloft::DesiredState;
using namespace Lavenderloft::DesiredState::Queries;
using Json::ProblemKind;
using namespace std::chrono_literals;

namespace {

const std::string digestA(64, 'a');
const std::string digestB(64, 'b');

// A valid document with every field set.
nlohmann::ordered_json example()
{
    return nlohmann::ordered_json::parse(R"({
        "revision": 12,
        "regions": [{ "name": "makedonia" }],
        "dataCentres": [{ "name": "mak-1", "region": "makedonia", "state": "out" }],
        "pools": [{ "name": "assistant", "manifest": ")"
        + digestA + R"(", "adapters": [")" + digestB + R"("], "replicas": 10,
                    "priority": 7, "dataCentres": ["mak-1"], "maxUnavailable": 2, "coldLimit": 3, "fullLimit": 17,
                    "warmWindowMs": 1500, "checksFence": true }],
        "services": [{ "name": "ledger", "vms": ["mak-ledger-1"], "limit": 5, "paused": true, "resendWindowMs": 700000 }],
        "routes": [{ "path": "/v1/assistant", "pool": "assistant", "adapter": ")"
        + digestB + R"(", "class": "hazard" },
                   { "path": "/ledger", "service": "ledger", "repeatable": true, "class": "summary" },
                   { "path": "/ledger/bookings", "service": "ledger" }],
        "organisations": [{ "name": "school-1", "share": 10 }],
        "drains": ["mak-t3"] })");
}

std::vector<Json::Problem> problemsOf(std::string_view bytes)
{
    auto result = parseDocument(bytes);
    return Base::succeeded(result) ? std::vector<Json::Problem> {} : Base::errorOf(result).problems;
}

bool reports(const std::vector<Json::Problem>& problems, ProblemKind kind, const std::string& pointer)
{
    return std::any_of(problems.begin(), problems.end(), [&](auto& problem) {
        return problem.kind == kind && problem.pointer == pointer && !problem.message.empty() && !problem.remedy.empty();
    });
}

// Sets a value in the example document and expects exactly one problem, of the given kind and pointer.
void expectOnly(const std::string& changePointer, const nlohmann::ordered_json& value, ProblemKind kind, const std::string& pointer)
{
    auto document = example();
    document[nlohmann::ordered_json::json_pointer(changePointer)] = value;
    auto problems = problemsOf(document.dump());
    cr_assert_eq(problems.size(), 1, "%s: %zu problems", changePointer.c_str(), problems.size());
    cr_assert(reports(problems, kind, pointer), "%s gave %s", changePointer.c_str(), problems.front().describe().c_str());
}

} // namespace

// Guards against fields that are ignored or stored in the wrong member.
Test(ParseDocument, readsEveryField)
{
    auto result = parseDocument(example().dump());
    cr_assert(Base::succeeded(result));
    auto& document = Base::valueOf(result);
    cr_assert_eq(document.revision, 12);
    cr_assert(document.regions.at(0).name == "makedonia");
    cr_assert(document.dataCentres.at(0).region == "makedonia" && document.isDataCentreOut("mak-1"));
    auto& pool = document.pools.at(0);
    cr_assert(pool.manifest == digestA && pool.adapters.at(0) == digestB && pool.dataCentres.at(0) == "mak-1");
    cr_assert(pool.replicas == 10 && pool.priority == 7 && pool.maxUnavailable == 2);
    cr_assert(pool.coldLimit == 3 && pool.fullLimit == 17 && pool.warmWindow == 1500ms && pool.checksFence);
    auto& service = document.services.at(0);
    cr_assert(service.vms.at(0) == "mak-ledger-1" && service.limit == 5 && service.paused && service.resendWindow == 700s);
    cr_assert(document.findRoute("/v1/assistant")->priorityClass == PriorityClass::Hazard);
    cr_assert(document.findRoute("/v1/assistant")->repeatable && document.findRoute("/v1/assistant")->adapter == digestB);
    cr_assert(document.findRoute("/ledger")->adapter.empty());
    cr_assert(document.findRoute("/ledger/x")->repeatable);
    cr_assert_not(document.findRoute("/ledger/bookings")->repeatable);
    cr_assert(document.organisations.at(0).share == 10 && document.isDrained("mak-t3"));
}

// Guards against validation that stops at the first problem.
Test(ParseDocument, reportsAllProblemsAtOnce)
{
    auto problems = problemsOf(R"({ "revision": 0, "revision": 2,
        "regions": [{ "name": "r", "colour": 1 }],
        "dataCentres": [{ "name": "d", "region": "elsewhere", "state": "on" }],
        "pools": [{ "name": "p", "manifest": "abc", "replicas": -1, "maxUnavailable": 0, "coldLimit": 9, "fullLimit": 8, "dataCentres": ["nowhere"] }],
        "services": [{ "name": "s", "vms": "v" }, { "name": "s", "vms": [] }],
        "routes": [{ "path": "no-slash", "pool": "p", "repeatable": false }, { "path": "/x", "pool": "p", "service": "s" }],
        "drains": ["v", "v"], "extra": {} })");
    cr_assert(reports(problems, ProblemKind::OutOfRange, "/revision"));
    cr_assert(reports(problems, ProblemKind::DuplicateKey, "/revision"));
    cr_assert(reports(problems, ProblemKind::UnknownField, "/regions/0/colour"));
    cr_assert(reports(problems, ProblemKind::DanglingReference, "/dataCentres/0/region"));
    cr_assert(reports(problems, ProblemKind::Malformed, "/dataCentres/0/state"));
    cr_assert(reports(problems, ProblemKind::Malformed, "/pools/0/manifest"));
    cr_assert(reports(problems, ProblemKind::OutOfRange, "/pools/0/replicas"));
    cr_assert(reports(problems, ProblemKind::OutOfRange, "/pools/0/maxUnavailable"));
    cr_assert(reports(problems, ProblemKind::Contradiction, "/pools/0/coldLimit"));
    cr_assert(reports(problems, ProblemKind::DanglingReference, "/pools/0/dataCentres/0"));
    cr_assert(reports(problems, ProblemKind::WrongType, "/services/0/vms"));
    cr_assert(reports(problems, ProblemKind::DuplicateName, "/services/1/name"));
    cr_assert(reports(problems, ProblemKind::OutOfRange, "/services/1/vms"));
    cr_assert(reports(problems, ProblemKind::Malformed, "/routes/0/path"));
    cr_assert(reports(problems, ProblemKind::Contradiction, "/routes/0/repeatable"));
    cr_assert(reports(problems, ProblemKind::Contradiction, "/routes/1"));
    cr_assert(reports(problems, ProblemKind::DuplicateName, "/drains/1"));
    cr_assert(reports(problems, ProblemKind::UnknownField, "/extra"));
    // The total includes the empty "vms" of the first service, which follows from its wrong type.
    cr_assert_eq(problems.size(), 19);
}

// Guards against missing or duplicate checks: each change causes exactly one problem.
Test(ParseDocument, reportsEachCrossCheckOnce)
{
    expectOnly("/pools/0/replicas", 1.5, ProblemKind::OutOfRange, "/pools/0/replicas");
    expectOnly("/pools/0/checksFence", 1, ProblemKind::WrongType, "/pools/0/checksFence");
    expectOnly("/pools/0/adapters/1", digestB, ProblemKind::DuplicateName, "/pools/0/adapters/1");
    expectOnly("/pools/0/dataCentres", nlohmann::ordered_json::array(), ProblemKind::OutOfRange, "/pools/0/dataCentres");
    expectOnly("/organisations/0/name", nullptr, ProblemKind::WrongType, "/organisations/0/name");
    expectOnly("/services/1", nlohmann::ordered_json::parse(R"({"name":"sign","vms":["mak-ledger-1"]})"), ProblemKind::DuplicateName, "/services/1/vms/0");
    expectOnly("/routes/0/repeatable", false, ProblemKind::Contradiction, "/routes/0/repeatable");
    expectOnly("/routes/0/adapter", digestA, ProblemKind::DanglingReference, "/routes/0/adapter");
    expectOnly("/routes/0/adapter", "b", ProblemKind::Malformed, "/routes/0/adapter");
    expectOnly("/routes/1/adapter", digestB, ProblemKind::Contradiction, "/routes/1/adapter");
    expectOnly("/routes/1/path", "/ledger/bookings", ProblemKind::DuplicateName, "/routes/2/path");
    expectOnly("/organisations/0/share", 0, ProblemKind::OutOfRange, "/organisations/0/share");
    expectOnly("/regions/1", nlohmann::ordered_json::parse(R"({"name":"a b"})"), ProblemKind::Malformed, "/regions/1/name");
    expectOnly("/regions/1", 5, ProblemKind::WrongType, "/regions/1");
}
