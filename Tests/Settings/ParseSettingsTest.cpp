#include "Settings/Queries/ParseSettings.h"
#include "Settings/SettingsBuilder.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Settings;
using namespace Lavenderloft::Settings::Queries;
using Json::ProblemKind;

namespace {

const std::string agentSettings = R"({
  "vm": "mak-t1", "region": "makedonia", "dataCentre": "mak-1",
  "inner": "127.0.0.1:7001", "admin": "[::1]:0",
  "configurationService": "127.0.0.1:6001", "vmList": "127.0.0.1:6003", "weightStore": "127.0.0.1:6002",
  "peers": ["127.0.0.1:7011"],
  "target": { "kind": "service", "endpoint": "127.0.0.1:9001", "name": "ledger" },
  "tls": { "certificateFile": "c.pem", "keyFile": "k.pem", "authorityFile": "a.pem", "reloadSeconds": 7 },
  "weightMemoryBytes": 1000000, "streamBudgetBytes": 2000000,
  "interRegionLinkBitsPerSecond": 3000000, "rolloutShareOfLink": 1,
  "log": { "level": "warning", "layout": "json" }
})";

bool reports(const Json::CheckError& error, ProblemKind kind, const std::string& pointer)
{
    return std::any_of(error.problems.begin(), error.problems.end(),
        [&](auto& problem) { return problem.kind == kind && problem.pointer == pointer; });
}

} // namespace

// Guards against fields that are ignored or stored in the wrong member.
Test(ParseSettings, readsEveryField)
{
    auto result = parseSettings(agentSettings);
    cr_assert(Base::succeeded(result));
    auto& settings = Base::valueOf(result);
    cr_assert(settings.vm == "mak-t1" && settings.region == "makedonia" && settings.dataCentre == "mak-1");
    cr_assert(settings.inner == "127.0.0.1:7001" && settings.admin == "[::1]:0" && settings.callers.empty());
    cr_assert(settings.configurationService == "127.0.0.1:6001" && settings.vmList == "127.0.0.1:6003" && settings.weightStore == "127.0.0.1:6002");
    cr_assert(settings.peers == std::vector<std::string> { "127.0.0.1:7011" });
    cr_assert(settings.target->kind == TargetKind::Service && settings.target->service == "ledger" && settings.target->endpoint == "127.0.0.1:9001");
    cr_assert(settings.tls && settings.tls->certificateFile == "c.pem" && settings.tls->keyFile == "k.pem" && settings.tls->authorityFile == "a.pem");
    cr_assert(settings.tls->reloadInterval == std::chrono::seconds(7) && !settings.plainTextOnLoopback);
    cr_assert(settings.weightMemoryBytes == 1000000 && settings.streamBudgetBytes == 2000000);
    cr_assert(settings.interRegionLinkBitsPerSecond == 3000000 && settings.rolloutShareOfLink == 1);
    cr_assert(settings.log.level == Observability::Level::Warning && settings.log.layout == Observability::Layout::Json);
}

// Guards against a process that starts with unusable addresses or sizes.
Test(ParseSettings, reportsAllProblemsAtOnce)
{
    auto result = parseSettings(R"({ "vm": "a/b", "region": 3, "inner": "host:1", "admin": "127.0.0.1:65536",
        "callers": "127.0.0.1:1", "target": { "kind": "model", "endpoint": "127.0.0.1:0", "name": "x" },
        "configurationService": "127.0.0.1", "vmList": "127.0.0.1:1", "peers": ["127.0.0.1:1", "127.0.0.1:1"],
        "streamBudgetBytes": 1, "rolloutShareOfLink": 1.5, "log": { "level": "loud" }, "vmlist": 1,
        "tls": { "certificateFile": 1, "authorityFile": "a", "reloadSeconds": 0 }, "plainTextOnLoopback": true })");
    cr_assert_not(Base::succeeded(result));
    auto& error = Base::errorOf(result);
    cr_assert(reports(error, ProblemKind::Malformed, "/vm"));
    cr_assert(reports(error, ProblemKind::WrongType, "/region"));
    cr_assert(reports(error, ProblemKind::MissingField, "/dataCentre"));
    cr_assert(reports(error, ProblemKind::Malformed, "/inner"));
    cr_assert(reports(error, ProblemKind::Malformed, "/admin"));
    cr_assert(reports(error, ProblemKind::Contradiction, "/callers"));
    cr_assert(reports(error, ProblemKind::Malformed, "/target/endpoint"));
    cr_assert(reports(error, ProblemKind::Contradiction, "/target/name"));
    cr_assert(reports(error, ProblemKind::MissingField, "/weightStore"));
    cr_assert(reports(error, ProblemKind::Malformed, "/configurationService"));
    cr_assert(reports(error, ProblemKind::DuplicateName, "/peers/1"));
    cr_assert(reports(error, ProblemKind::OutOfRange, "/streamBudgetBytes"));
    cr_assert(reports(error, ProblemKind::OutOfRange, "/rolloutShareOfLink"));
    cr_assert(reports(error, ProblemKind::Malformed, "/log/level"));
    cr_assert(reports(error, ProblemKind::UnknownField, "/vmlist"));
    cr_assert(reports(error, ProblemKind::WrongType, "/tls/certificateFile"));
    cr_assert(reports(error, ProblemKind::MissingField, "/tls/keyFile"));
    cr_assert(reports(error, ProblemKind::OutOfRange, "/tls/reloadSeconds"));
    cr_assert(reports(error, ProblemKind::Contradiction, "/plainTextOnLoopback"));
    cr_assert_eq(error.problems.size(), 19);
}

// Guards against unencrypted connections on a network, or without an explicit setting.
Test(ParseSettings, refusesUnprotectedConnections)
{
    auto parse = [](const std::string& inner, const std::string& peer, const std::string& rest) {
        return parseSettings(R"({ "vm": "a", "region": "r", "dataCentre": "d", "callers": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "configurationService": "10.0.0.1:1", "vmList": "10.0.0.1:2", "inner": ")"
            + inner + R"(", "peers": [")" + peer + "\"]" + rest + "}");
    };
    for (std::string rest : { "", R"(, "plainTextOnLoopback": false)" }) {
        auto silent = parse("127.0.0.1:1", "127.0.0.1:2", rest);
        cr_assert_not(Base::succeeded(silent));
        auto text = Base::errorOf(silent).describe();
        cr_assert(reports(Base::errorOf(silent), ProblemKind::MissingField, "/tls"));
        cr_assert(text.find("add \"tls\"") != std::string::npos && text.find("\"plainTextOnLoopback\": true") != std::string::npos);
    }
    std::string plain = R"(, "plainTextOnLoopback": true)";
    cr_assert(Base::succeeded(parse("127.8.0.1:1", "[::1]:2", plain)));
    for (std::string outside : { "10.0.0.1:1", "0.0.0.0:1", "[::]:1", "[::2]:1", "128.0.0.1:1" }) {
        auto inner = parse(outside, "127.0.0.1:2", plain);
        cr_assert(!Base::succeeded(inner) && reports(Base::errorOf(inner), ProblemKind::Contradiction, "/inner"), "%s", outside.c_str());
        auto peer = parse("127.0.0.1:1", outside, plain);
        cr_assert(!Base::succeeded(peer) && reports(Base::errorOf(peer), ProblemKind::Contradiction, "/peers/0"), "%s", outside.c_str());
    }
}

// Guards against a builder that does not validate the settings.
Test(SettingsBuilder, checksLikeTheParser)
{
    SettingsBuilder builder;
    builder.vm("mak-1", "makedonia", "mak-1").listen("127.0.0.1:0", "127.0.0.1:0").platform("127.0.0.1:1", "127.0.0.1:2");
    auto incomplete = builder.build();
    cr_assert_not(Base::succeeded(incomplete));
    cr_assert(reports(Base::errorOf(incomplete), ProblemKind::MissingField, ""));
    cr_assert(reports(Base::errorOf(incomplete), ProblemKind::MissingField, "/tls"));
    auto complete = builder.callers("127.0.0.1:0").plainTextOnLoopback().build();
    cr_assert(Base::succeeded(complete));
    cr_assert(Base::valueOf(complete).callers == "127.0.0.1:0");
}
