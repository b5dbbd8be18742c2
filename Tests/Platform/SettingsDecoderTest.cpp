#include "platform/SettingsDecoder.h"

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
  memory_mb: 160
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
    cr_assert_eq(settings.memoryBytes, 160u * 1024 * 1024);
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
