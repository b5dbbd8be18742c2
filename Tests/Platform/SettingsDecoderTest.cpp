#include "platform/SettingsDecoder.h"
#include "platform/EngineCodec.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Platform;

namespace {

const std::string settingsOfARouter = R"(node: "front-1"
role: "router"
ip: "10.1.0.40"
zone: "dc-a"
region: "r-a"
zones:
  dc-a: "r-a"
  dc-b: "r-b"
listen:
  front: "10.1.0.40:8005"
  ready: "10.1.0.40:8002"
port_range:
  - 7700
  - 7715
seeds:
  - "10.2.0.37:8000"
limits:
  link_mbps: 9.4
some_new_field: [1, 2]
bounds:
  grace_s: 8
  version_ms: 9000
  retry_budget_ratio: 0.2
platform:
  address: "10.200.1.7:8007"
)";

} // namespace

// Guards against misreading a settings file. Unknown fields are ignored.
Test(SettingsDecoder, readsTheSettingsOfANode)
{
    auto decoded = decodeSettings(settingsOfARouter);
    cr_assert(Base::succeeded(decoded));
    auto& settings = Base::valueOf(decoded);
    cr_assert_eq(settings.callerListen->port, 8005);
    cr_assert_eq(settings.firstPeerPort, 7700);
    cr_assert_eq(settings.seedAddresses.front(), "10.2.0.37");
    cr_assert_eq(settings.store.port, 8007);
    cr_assert_eq(settings.regionOf("dc-b"), "r-b");
    cr_assert_eq(settings.bounds.weights.count(), 9000);
    cr_assert_eq(settings.bounds.grace.count(), 8000);
    cr_assert_float_eq(settings.linkBitsPerSecond, 9.4e6, 1);
    cr_assert_not(settings.localEngine.has_value());
}

// Guards against reporting only the first of several errors.
Test(SettingsDecoder, reportsAllProblemsAtOnce)
{
    auto decoded = decodeSettings("node: [1]\nip: \"10.0.0.1\"\nregion: \"r\"\nzones: {}\nport_range: [9, 3]\nlisten:\n  front: \"nowhere\"\n");
    cr_assert_not(Base::succeeded(decoded));
    auto message = Base::errorOf(decoded).message;
    for (auto* problem : { "node", "zone", "port_range", "front", "platform.address" })
        cr_expect(message.find(problem) != std::string::npos, "%s is missing in: %s", problem, message.c_str());
}

// Guards against a crash on a file that is not a YAML map.
Test(SettingsDecoder, rejectsInvalidYaml)
{
    cr_assert(Base::errorOf(decodeSettings("a: [")).kind == Fleet::NodeSettingsErrorKind::Unreadable);
    cr_assert(Base::errorOf(decodeSettings("just text")).kind == Fleet::NodeSettingsErrorKind::Unreadable);
}

// Guards against misreading a report or a manifest.
Test(EngineCodec, readsReportAndManifest)
{
    EngineCodec codec;
    auto report = codec.readReport({ 200, {}, R"({"layers":{"from":0,"to":16,"version":2},"busy":true,"queued":1,"active":12,"kv_used":41,"kv_total":90,"born":1782253595882,"pace":1.5})" });
    cr_assert(Base::succeeded(report));
    cr_assert_eq(Base::valueOf(report).running, 12);
    cr_assert_eq(Base::valueOf(report).layers->version, 2);
    cr_assert(Base::valueOf(report).busy);
    cr_assert_eq(Base::valueOf(report).startedAt, 1782253595882);
    cr_assert(Base::errorOf(codec.readReport({ 200, {}, "[]" })).kind == Staging::EngineErrorKind::Malformed);
    auto manifest = codec.readManifest({ 200, {}, R"({"model":"m","version":2,"digests":["aa","bb"]})" });
    cr_assert_eq(Base::valueOf(manifest).digests.size(), 2);
    cr_assert(Base::errorOf(codec.readManifest({ 404, {}, "" })).kind == Staging::EngineErrorKind::NotFound);
}

// Guards against requests that the platform does not accept.
Test(EngineCodec, encodesRequests)
{
    EngineCodec codec;
    cr_assert_eq(codec.pieceRequest("m", 2, 5).target, "/api/piece/m?sample_count=5&version=2");
    cr_assert_eq(codec.storePieceRequest("m", 5, "x").target, "/api/stage-put/m?sample_count=5");
    cr_assert_eq(codec.storePieceRequest("m", 5, "x").method, "PUT");
    cr_assert_neq(codec.loadRequest("m", 2, Staging::LoadMode::FinishRunning).body.find("\"mode\":\"queue\""), std::string::npos);
    cr_assert_neq(codec.loadRequest("m", 2, Staging::LoadMode::AbortRunning).body.find("\"mode\":\"truncate\""), std::string::npos);
    cr_assert(codec.readLoadResponse({ 202, {}, "" }) == Staging::LoadResponse::Started);
    cr_assert(codec.readLoadResponse({ 409, {}, "" }) == Staging::LoadResponse::Conflict);
}
