#include "EndToEnd/TestFleet.h"

#include "DesiredState/Queries/ParseDocument.h"

#include <criterion/criterion.h>
#include <mutex>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// Records the revisions that a process has had in force, and whether they ever decreased.
class RevisionMonitor {
public:
    explicit RevisionMonitor(Process::ControlNode& control)
        : m_control(control)
        , m_state(std::make_shared<State>())
    {
        control.onChange([&control, state = m_state] { record(control, *state); });
    }

    uint64_t revision() const { return record(m_control, *m_state); }

    bool hasDecreased() const
    {
        std::lock_guard guard(m_state->lock);
        return m_state->hasDecreased;
    }

private:
    struct State {
        std::mutex lock;
        uint64_t highest = 0;
        bool hasDecreased = false;
    };

    static uint64_t record(Process::ControlNode& control, State& state)
    {
        std::lock_guard guard(state.lock);
        auto document = control.document();
        auto revision = document ? document->revision : 0;
        state.hasDecreased |= revision < state.highest;
        state.highest = std::max(state.highest, revision);
        return revision;
    }

    Process::ControlNode& m_control;
    std::shared_ptr<State> m_state;
};

struct MonitoredRouter {
    MonitoredRouter(TestFleet& fleet, const std::string& vm, const std::string& dataCentre)
        : router(fleet.startRouter(vm, dataCentre))
        , monitor(router->control())
    {
    }

    std::string digest()
    {
        auto current = router->control().revisions().current();
        return current ? current->digest : std::string();
    }

    std::unique_ptr<TestRouter> router;
    RevisionMonitor monitor;
};

// Three routers in two data centres that know each other and have the first document in force.
struct ConfigurationFixture {
    ConfigurationFixture()
        : fleet({ "dc-1", "dc-2" })
    {
        fleet.publish();
        for (auto& [vm, dataCentre] : std::vector<std::pair<std::string, std::string>> { { "router-1", "dc-1" }, { "router-2", "dc-1" }, { "router-3", "dc-2" } })
            routers.push_back(std::make_unique<MonitoredRouter>(fleet, vm, dataCentre));
        waitForRevision(1);
        waitUntil("routers that know each other", [&] {
            return std::all_of(routers.begin(), routers.end(), [&](auto& each) { return each->router->control().members().size() == routers.size() && each->router->control().isSynchronised(); });
        });
    }

    void waitForRevision(uint64_t revision)
    {
        waitUntil("revision " + std::to_string(revision) + " everywhere", [&] {
            return std::all_of(routers.begin(), routers.end(), [&](auto& each) { return each->monitor.revision() == revision; });
        });
        requireMonotonicRevisions();
    }

    void requireMonotonicRevisions() const
    {
        for (auto& each : routers)
            cr_assert(!each->monitor.hasDecreased());
    }

    TestFleet fleet;
    std::vector<std::unique_ptr<MonitoredRouter>> routers;
};

} // namespace

// Guards against adopting an older document from a stale configuration service, in a running or a restarted process.
Test(Configuration, staleServiceAndRestartedProcess)
{
    ConfigurationFixture fixture;
    fixture.fleet.publish();
    auto newest = fixture.fleet.publish();
    fixture.waitForRevision(newest);
    cr_assert(fixture.fleet.configuration.freezeAt(1));
    for (auto& each : fixture.routers)
        each->router->faults().ignoreHeldRevision();
    fixture.routers[0].reset();
    fixture.routers[0] = std::make_unique<MonitoredRouter>(fixture.fleet, "router-1", "dc-1");
    auto& restarted = *fixture.routers[0];
    waitUntil("the restarted process to synchronise", [&] { return restarted.router->control().isSynchronised(); });
    waitUntil("the restarted process to adopt the document of its peers", [&] { return restarted.monitor.revision() == newest; });
    restarted.router->faults().ignoreHeldRevision();
    auto calls = fixture.fleet.configuration.counters();
    waitUntil("more reads of the stale service", [&] { return fixture.fleet.configuration.counters().watches >= calls.watches + 5; });
    fixture.waitForRevision(newest);
    fixture.fleet.configuration.unfreeze();
    fixture.waitForRevision(fixture.fleet.publish());
}

// Guards against an update that reaches only the processes that read the configuration service before it went down.
Test(Configuration, serviceDownDuringDissemination)
{
    ConfigurationFixture fixture;
    for (auto i : { 1, 2 })
        fixture.routers[i]->router->faults().setDisconnectedFromPlatform(true);
    auto revision = fixture.fleet.publish();
    waitUntil("the connected process to adopt the update", [&] { return fixture.routers[0]->monitor.revision() == revision; });
    fixture.fleet.configuration.setDown(true);
    fixture.waitForRevision(revision);
}

// Guards against an invalid document that takes effect or replaces the one in force.
Test(Configuration, invalidDocument)
{
    ConfigurationFixture fixture;
    auto revision = fixture.fleet.publish();
    fixture.waitForRevision(revision);
    auto valid = fixture.fleet.desired;
    fixture.fleet.desired["routes"].push_back({ { "path", "/none" }, { "pool", "undeclared" } });
    fixture.fleet.publish();
    waitUntil("a process to report the refused document", [&] {
        return std::any_of(fixture.routers.begin(), fixture.routers.end(), [](auto& each) { return !each->router->control().fleetStatus().refusedDocument.empty(); });
    });
    fixture.waitForRevision(revision);
    valid["revision"] = revision + 1;
    fixture.fleet.desired = valid;
    fixture.waitForRevision(fixture.fleet.publish());
}

// Guards against different documents in force after a network partition has healed, and against a revision that
// decreases.
Test(Configuration, partitionHealed)
{
    ConfigurationFixture fixture;
    auto& remote = *fixture.routers[2];
    fixture.fleet.networkFaults.setPartition({ remote.router->faults().address() });
    remote.router->faults().setDisconnectedFromPlatform(true);
    fixture.fleet.publish();
    auto newest = fixture.fleet.publish();
    waitUntil("the newest revision on one side", [&] { return fixture.routers[0]->monitor.revision() == newest && fixture.routers[1]->monitor.revision() == newest; });
    cr_assert_eq(remote.monitor.revision(), 1);
    fixture.fleet.networkFaults.setPartition({});
    fixture.waitForRevision(newest);

    // The two sides accept different documents of the same revision.
    fixture.fleet.networkFaults.setPartition({ remote.router->faults().address() });
    auto revision = fixture.fleet.publish();
    waitUntil("the document on the first side", [&] { return fixture.routers[0]->monitor.revision() == revision && fixture.routers[1]->monitor.revision() == revision; });
    for (auto i : { 0, 1 })
        fixture.routers[i]->router->faults().setDisconnectedFromPlatform(true);
    auto first = fixture.routers[0]->digest();
    fixture.fleet.desired["revision"] = newest;
    fixture.fleet.desired["drains"].push_back("some-vm");
    fixture.fleet.publish();
    remote.router->faults().setDisconnectedFromPlatform(false);
    waitUntil("the other document on the second side", [&] { return remote.monitor.revision() == revision; });
    auto second = remote.digest();
    cr_assert(first != second);
    fixture.fleet.networkFaults.setPartition({});
    waitUntil("the document with the greater digest everywhere", [&] {
        return std::all_of(fixture.routers.begin(), fixture.routers.end(), [&](auto& each) { return each->digest() == std::max(first, second); });
    });
    fixture.requireMonotonicRevisions();
}
