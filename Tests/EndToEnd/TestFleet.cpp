#include "EndToEnd/TestFleet.h"

#include "Standin/ResponseValidator.h"

#include <algorithm>
#include <criterion/criterion.h>

namespace Lavenderloft::Testing {

using namespace std::chrono_literals;

namespace {

    // Fails a test that hangs; not a performance limit.
    constexpr std::chrono::seconds hangTimeout { 60 };
    constexpr std::chrono::milliseconds pollInterval { 10 };
    constexpr std::chrono::milliseconds responseTimeout { 2000 };
    constexpr uint64_t modelBytes = 256 * 1024;
    constexpr uint64_t chunkBytes = 64 * 1024;

    std::string loopback(uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::string errorField(const std::string& body, const char* field)
    {
        auto json = nlohmann::json::parse(body, nullptr, false);
        if (!json.is_object() || !json.contains("error"))
            return {};
        return json["error"].value(field, "");
    }

} // namespace

void waitUntil(const std::string& what, const std::function<bool()>& condition, const std::function<std::string()>& describe)
{
    auto end = std::chrono::steady_clock::now() + hangTimeout;
    while (!condition()) {
        bool isInTime = std::chrono::steady_clock::now() < end;
        auto state = isInTime || !describe ? std::string() : ": " + describe();
        cr_assert(isInTime, "timed out after 60 s waiting for %s%s", what.c_str(), state.c_str());
        std::this_thread::sleep_for(pollInterval);
    }
}

std::string Response::errorCode() const
{
    return errorField(body, "code");
}

std::string Response::outcome() const
{
    return errorField(body, "outcome");
}

TestFleet::TestFleet(const std::vector<std::string>& dataCentres)
    : configuration({})
    , vmList({})
    , store({})
{
    desired = { { "revision", 0 }, { "regions", nlohmann::json::array() }, { "dataCentres", nlohmann::json::array() }, { "pools", nlohmann::json::array() }, { "services", nlohmann::json::array() }, { "routes", nlohmann::json::array() }, { "drains", nlohmann::json::array() } };
    for (auto& name : dataCentres) {
        desired["regions"].push_back({ { "name", "region-" + name } });
        desired["dataCentres"].push_back({ { "name", name }, { "region", "region-" + name }, { "state", "in" } });
    }
}

TestFleet::~TestFleet() = default;

uint64_t TestFleet::publish()
{
    auto revision = desired["revision"].get<uint64_t>() + 1;
    desired["revision"] = revision;
    configuration.publish(desired.dump());
    return revision;
}

std::string TestFleet::addVersion(const std::string& version)
{
    Standin::ModelSpec spec;
    spec.description = { "assistant", version, modelBytes, chunkBytes };
    spec.seed = std::hash<std::string> {}(version);
    return store.addModel(spec)->digest();
}

nlohmann::json& TestFleet::declarePool(const std::string& digest, unsigned replicas)
{
    desired["routes"].push_back({ { "path", "/assistant" }, { "pool", "assistant" }, { "class", "interactive" } });
    desired["pools"].push_back({ { "name", "assistant" }, { "manifest", digest }, { "replicas", replicas }, { "priority", 100 }, { "maxUnavailable", 1 }, { "coldLimit", 2 }, { "fullLimit", 8 }, { "warmWindowMs", 300 }, { "checksFence", true } });
    return desired["pools"].back();
}

nlohmann::json& TestFleet::declareService(const std::vector<std::string>& vms)
{
    desired["routes"].push_back({ { "path", "/bookings" }, { "service", "ledger" }, { "repeatable", false }, { "class", "interactive" } });
    desired["services"].push_back({ { "name", "ledger" }, { "vms", vms }, { "limit", 16 }, { "paused", false }, { "resendWindowMs", 600000 } });
    return desired["services"].back();
}

Settings::ProcessSettings TestFleet::makeSettings(const std::string& vm, const std::string& dataCentre) const
{
    Settings::ProcessSettings settings;
    settings.vm = vm;
    settings.dataCentre = dataCentre;
    settings.region = "region-" + dataCentre;
    settings.inner = "127.0.0.1:0";
    settings.plainTextOnLoopback = true;
    settings.admin = "127.0.0.1:0";
    settings.configurationService = loopback(configuration.port());
    settings.vmList = loopback(vmList.port());
    settings.weightStore = loopback(store.port());
    for (auto& entry : m_vms)
        settings.peers.push_back(entry.address);
    return settings;
}

void TestFleet::addToVmList(const std::string& vm, const std::string& dataCentre, const std::string& role, const std::string& address)
{
    std::erase_if(m_vms, [&](auto& entry) { return entry.name == vm; });
    m_vms.push_back({ vm, address, dataCentre, "region-" + dataCentre, role, "live" });
    vmList.replace(m_vms);
}

std::unique_ptr<TestRouter> TestFleet::startRouter(const std::string& vm, const std::string& dataCentre, uint64_t streamBudgetBytes, std::shared_ptr<Routing::TargetChannels> channels)
{
    auto settings = makeSettings(vm, dataCentre);
    settings.callers = "127.0.0.1:0";
    settings.streamBudgetBytes = streamBudgetBytes;
    auto router = std::make_unique<TestRouter>(ProcessOptions { settings, networkFaults, std::move(channels) });
    addToVmList(vm, dataCentre, "entry", router->faults().address());
    return router;
}

std::unique_ptr<TestAgent> TestFleet::startModelAgent(const std::string& vm, const std::string& dataCentre, const Standin::ModelEngine& engine)
{
    auto settings = makeSettings(vm, dataCentre);
    settings.target = Settings::TargetSettings { Settings::TargetKind::Model, loopback(engine.port()), {} };
    auto agent = std::make_unique<TestAgent>(ProcessOptions { settings, networkFaults, nullptr });
    addToVmList(vm, dataCentre, "target", agent->faults().address());
    return agent;
}

std::unique_ptr<TestAgent> TestFleet::startServiceAgent(const std::string& vm, const std::string& dataCentre, const Standin::PlainService& service)
{
    auto settings = makeSettings(vm, dataCentre);
    settings.target = Settings::TargetSettings { Settings::TargetKind::Service, loopback(service.port()), "ledger" };
    auto agent = std::make_unique<TestAgent>(ProcessOptions { settings, networkFaults, nullptr });
    addToVmList(vm, dataCentre, "target", agent->faults().address());
    return agent;
}

void TestFleet::markLeaving(const std::string& vm)
{
    cr_assert(vmList.setState(vm, "leaving"), "the VM list has no entry %s", vm.c_str());
}

// Gossip carries a member's load only within its data centre; for other members, asks the member itself.
bool TestFleet::isAccepting(const Membership::Member& member)
{
    if (member.hasDetail)
        return member.load.accepting;
    auto status = m_control.fetchStatus(member.address, responseTimeout);
    return Base::succeeded(status) && Base::valueOf(status).self.load.accepting;
}

void TestFleet::waitForReplicas(TestRouter& router, const std::string& digest, unsigned count)
{
    waitUntil(
        "replicas serving " + digest, [&] {
        auto members = router.control().members();
        return static_cast<unsigned>(std::count_if(members.begin(), members.end(), [&](auto& member) {
            return isAccepting(member) && std::any_of(member.replicas.begin(), member.replicas.end(), [&](auto& replica) { return replica.servingDigest == digest; });
        })) >= count; },
        [&] { return describeMembers(router); });
}

std::string TestFleet::describeMembers(TestRouter& router)
{
    auto description = nlohmann::json::array();
    for (auto& member : router.control().members()) {
        nlohmann::json entry { { "vm", member.vm }, { "status", static_cast<int>(member.status) }, { "revision", member.revision }, { "accepting", isAccepting(member) } };
        for (auto& replica : member.replicas)
            entry["replicas"].push_back({ { "phase", static_cast<int>(replica.phase) }, { "serving", replica.servingDigest }, { "wanted", replica.wantedDigest }, { "chunks", replica.chunksHeld }, { "reason", replica.reason } });
        description.push_back(std::move(entry));
    }
    return description.dump();
}

Response TestFleet::call(const Http::Endpoint& router, const std::string& path, const std::string& body, Http::HttpHeaders headers)
{
    auto result = m_client.fetch(router, { "POST", path, std::move(headers), body }, hangTimeout);
    if (!Base::succeeded(result))
        return {};
    auto& response = Base::valueOf(result);
    return { response.status, response.headers, response.body };
}

Response TestFleet::generate(const Http::Endpoint& router, const std::string& prompt, unsigned tokens, const std::string& path)
{
    return call(router, path, nlohmann::json { { "prompt", prompt }, { "maxTokens", tokens } }.dump(), { { "Content-Type", "application/json" } });
}

void TestFleet::waitForResponse(TestRouter& router)
{
    waitUntil("a response from the pool", [&] { return generate(router.callers(), "probe", 1).status == 200; });
}

bool isComplete(const Response& response, const std::string& identifier, unsigned tokens)
{
    Standin::ResponseValidator checker(identifier, tokens);
    checker.setDigest(std::string(Http::headerValue(response.headers, "X-Weights-Digest")));
    checker.setAdapter(std::string(Http::headerValue(response.headers, "X-Adapter-Digest")));
    checker.add(response.body);
    return response.status == 200 && checker.verdict() == Standin::ResponseVerdict::Complete;
}

Standin::LoadOptions makeLoad(const std::vector<Http::Endpoint>& routers, unsigned callers, unsigned tokens)
{
    Standin::LoadOptions options;
    options.routers = routers;
    options.path = "/assistant";
    options.callers = callers;
    options.tokens = tokens;
    return options;
}

void requireAllComplete(const Standin::LoadSummary& summary)
{
    auto text = toJson(summary).dump();
    cr_assert(!summary.hasInvariantViolation(), "%s", text.c_str());
    cr_assert_eq(summary.failed(), 0, "%s", text.c_str());
    cr_assert_eq(summary.lost(), 0, "%s", text.c_str());
}

} // namespace Lavenderloft::Testing
