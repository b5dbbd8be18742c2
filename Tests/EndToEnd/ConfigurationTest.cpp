#include "EndToEnd/TestFleet.h"

#include "DesiredState/Queries/ParseDocument.h"

#include <criterion/criterion.h>
#include <mutex>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// Notes each revision that a process has in force, and whether it ever fell.
class RevisionWatch {
public:
    explicit RevisionWatch(Process::ControlNode& control)
        : m_control(control)
        , m_state(std::make_shared<State>())
    {
        control.onChange([&control, state = m_state] { note(control, *state); });
    }

    uint64_t revision() const { return note(m_control, *m_state); }

    bool hasFallen() const
    {
        std::lock_guard guard(m_state->lock);
        return m_state->hasFallen;
    }

private:
    struct State {
        std::mutex lock;
        uint64_t highest = 0;
        bool hasFallen = false;
    };

    static uint64_t note(Process::ControlNode& control, State& state)
    {
        std::lock_guard guard(state.lock);
        auto document = control.document();
        auto revision = document ? document->revision : 0;
        state.hasFallen |= revision < state.highest;
        state.highest = std::max(state.highest, revision);
        return revision;
    }

    Process::ControlNode& m_control;
    std::shared_ptr<State> m_state;
};

struct WatchedRouter {
    WatchedRouter(TestFleet& fleet, const std::string& vm, const std::string& dataCentre)
        : router(fleet.startRouter(vm, dataCentre))
        , watch(router->control())
    {
    }

    std::string digest()
    {
        auto current = router->control().revisions().current();
        return current ? current->digest : std::string();
    }

    std::unique_ptr<TestRouter> router;
    RevisionWatch watch;
};

// Three processes in two data centres; each keeps the first document.
struct ConfiguredFleet {
    ConfiguredFleet()
        : fleet({ "dc-1", "dc-2" })
    {
        fleet.publish();
        for (auto& [vm, dataCentre] : std::vector<std::pair<std::string, std::string>> { { "router-1", "dc-1" }, { "router-2", "dc-1" }, { "router-3", "dc-2" } })
            routers.push_back(std::make_unique<WatchedRouter>(fleet, vm, dataCentre));
        waitForRevision(1);
        waitUntil("processes that know each other", [&] {
            return std::all_of(routers.begin(), routers.end(), [&](auto& each) { return each->router->control().members().size() == routers.size() && each->router->control().isSynchronised(); });
        });
    }

    void waitForRevision(uint64_t revision)
    {
        waitUntil("revision " + std::to_string(revision) + " everywhere", [&] {
            return std::all_of(routers.begin(), routers.end(), [&](auto& each) { return each->watch.revision() == revision; });
        });
        requireNoFall();
    }

    void requireNoFall() const
    {
        for (auto& each : routers)
            cr_assert(!each->watch.hasFallen());
    }

    TestFleet fleet;
    std::vector<std::unique_ptr<WatchedRouter>> routers;
};

} // namespace

// Guards against a process that takes over the old document of a stale service, be it running or just started.
Test(Configuration, staleServiceAndRestartedProcess)
{
    ConfiguredFleet parts;
    parts.fleet.publish();
    auto newest = parts.fleet.publish();
    parts.waitForRevision(newest);
    cr_assert(parts.fleet.configuration.freezeAt(1));
    for (auto& each : parts.routers)
        each->router->switches().readWhateverServiceHolds();
    parts.routers[0].reset();
    parts.routers[0] = std::make_unique<WatchedRouter>(parts.fleet, "router-1", "dc-1");
    auto& restarted = *parts.routers[0];
    waitUntil("a restarted process that takes on work", [&] { return restarted.router->control().isSynchronised(); });
    waitUntil("the document of its peers", [&] { return restarted.watch.revision() == newest; });
    restarted.router->switches().readWhateverServiceHolds();
    auto calls = parts.fleet.configuration.counters();
    waitUntil("more reads of the stale service", [&] { return parts.fleet.configuration.counters().watches >= calls.watches + 5; });
    parts.waitForRevision(newest);
    parts.fleet.configuration.unfreeze();
    parts.waitForRevision(parts.fleet.publish());
}

// Guards against a change that reaches only the processes that read the service before it went down.
Test(Configuration, serviceDownWhileAChangeSpreads)
{
    ConfiguredFleet parts;
    for (auto i : { 1, 2 })
        parts.routers[i]->router->switches().cutOffFromPlatform(true);
    auto revision = parts.fleet.publish();
    waitUntil("a reader with the change", [&] { return parts.routers[0]->watch.revision() == revision; });
    parts.fleet.configuration.setDown(true);
    parts.waitForRevision(revision);
}

// Guards against a document that is not valid and takes effect, or that drives out the one in force.
Test(Configuration, invalidDocument)
{
    ConfiguredFleet parts;
    auto revision = parts.fleet.publish();
    parts.waitForRevision(revision);
    auto valid = parts.fleet.desired;
    parts.fleet.desired["routes"].push_back({ { "path", "/none" }, { "pool", "undeclared" } });
    parts.fleet.publish();
    waitUntil("a process that names the refused document", [&] {
        return std::any_of(parts.routers.begin(), parts.routers.end(), [](auto& each) { return !each->router->control().fleetStatus().refusedDocument.empty(); });
    });
    parts.waitForRevision(revision);
    valid["revision"] = revision + 1;
    parts.fleet.desired = valid;
    parts.waitForRevision(parts.fleet.publish());
}

// Guards against parts of a partitioned fleet that keep different documents after it has healed, or go back to one.
Test(Configuration, partitionHealed)
{
    ConfiguredFleet parts;
    auto& remote = *parts.routers[2];
    parts.fleet.faults.setPartition({ remote.router->switches().address() });
    remote.router->switches().cutOffFromPlatform(true);
    parts.fleet.publish();
    auto newest = parts.fleet.publish();
    waitUntil("the newest revision on one side", [&] { return parts.routers[0]->watch.revision() == newest && parts.routers[1]->watch.revision() == newest; });
    cr_assert_eq(remote.watch.revision(), 1);
    parts.fleet.faults.setPartition({});
    parts.waitForRevision(newest);

    // Each side accepts another document of one revision.
    parts.fleet.faults.setPartition({ remote.router->switches().address() });
    auto revision = parts.fleet.publish();
    waitUntil("one document on the first side", [&] { return parts.routers[0]->watch.revision() == revision && parts.routers[1]->watch.revision() == revision; });
    for (auto i : { 0, 1 })
        parts.routers[i]->router->switches().cutOffFromPlatform(true);
    auto first = parts.routers[0]->digest();
    parts.fleet.desired["revision"] = newest;
    parts.fleet.desired["drains"].push_back("some-vm");
    parts.fleet.publish();
    remote.router->switches().cutOffFromPlatform(false);
    waitUntil("the other document on the second side", [&] { return remote.watch.revision() == revision; });
    auto second = remote.digest();
    cr_assert(first != second);
    parts.fleet.faults.setPartition({});
    waitUntil("the document with the greater digest everywhere", [&] {
        return std::all_of(parts.routers.begin(), parts.routers.end(), [&](auto& each) { return each->digest() == std::max(first, second); });
    });
    parts.requireNoFall();
}
