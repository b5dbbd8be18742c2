#include "Soak/FaultSeries.h"
#include "Soak/SoakCallers.h"

#include <criterion/criterion.h>
#include <iostream>

using namespace Lavenderloft;
using namespace Lavenderloft::Soak;
using namespace std::chrono_literals;

namespace {

constexpr auto startTimeout = 10s;
// Time in which faults begin.
constexpr auto faultTime = 13000ms;
constexpr unsigned faultCount = 36;
// Ends a wait for engines that never hold the declared weights again.
constexpr auto hangTimeout = 40s;
constexpr auto measuredTime = 1500ms;
constexpr unsigned callersPerKind = 8;

// One run: engines, their agents, a router and its callers, while versions are declared and faults overlap.
class WeightsSoakRun {
public:
    WeightsSoakRun(unsigned seed, unsigned engines)
        : m_fleet(seed, 1, true, engines)
        , m_series(m_fleet.context, seed)
        , m_callers(m_fleet, Expectation::None, seed)
    {
    }

    // Returns the broken promises.
    std::vector<std::string> run()
    {
        m_callers.start(callersPerKind);
        auto startedBy = SteadyClock::now() + startTimeout;
        m_series.runWhile([&] { return !m_callers.isAnyRouterReady() && SteadyClock::now() < startedBy; });
        m_series.runFor(1s);
        startFaults();
        m_series.runFor(faultTime);
        m_series.runWhile([&] { return !m_series.areOver(); });
        checkRecovery();
        m_callers.stop();
        auto stoppedBy = SteadyClock::now() + 2 * m_callers.deadline;
        m_series.runWhile([&] { return !m_callers.haveAllStopped() && SteadyClock::now() < stoppedBy; });
        checkProcesses();
        if (m_fleet.ledger.violations().empty())
            m_fleet.removeFolder();
        return m_fleet.ledger.violations();
    }

    std::string describe() const
    {
        unsigned unsoundLoads = 0;
        for (auto& agent : m_fleet.agents)
            unsoundLoads += agent.engine->unsoundLoads;
        return std::to_string(m_version) + " versions, " + std::to_string(m_series.begun()) + " faults, " + std::to_string(countRuns()) + " requests run, " + std::to_string(unsoundLoads) + " unsound loads, sound after " + std::to_string(m_recoveryTime.count()) + " ms; logs in " + m_fleet.describeFolder();
    }

private:
    unsigned countRuns() const
    {
        unsigned runs = 0;
        for (auto& agent : m_fleet.agents)
            runs += agent.engine->requestsRun;
        return runs;
    }

    void startFaults()
    {
        auto faultOf = [this](asio::awaitable<void> (WeightsSoakRun::*kind)()) { return [this, kind] { return (this->*kind)(); }; };
        auto holdOrders = faultOf(&WeightsSoakRun::holdOrders);
        auto spoilPieces = faultOf(&WeightsSoakRun::spoilPieces);
        m_series.start({ holdOrders, holdOrders, holdOrders, spoilPieces, spoilPieces, spoilPieces, faultOf(&WeightsSoakRun::holdStores), faultOf(&WeightsSoakRun::freezeAgent), faultOf(&WeightsSoakRun::killAgent), faultOf(&WeightsSoakRun::restartEngine) }, faultCount, faultTime);
        m_series.start({ faultOf(&WeightsSoakRun::declareVersions) }, 1, 1s);
    }

    SoakAgent& drawAgent() { return m_fleet.agents[m_series.random()() % m_fleet.agents.size()]; }

    asio::awaitable<void> declareVersions()
    {
        auto until = SteadyClock::now() + faultTime;
        while (SteadyClock::now() < until) {
            m_fleet.declareWeights(++m_version);
            co_await pause(m_series.drawDuration(1000ms, 8000ms));
        }
    }

    asio::awaitable<void> holdOrders()
    {
        auto& engine = *drawAgent().engine;
        engine.holdsOrders = true;
        co_await pause(m_series.drawDuration(2000ms, 8000ms));
        engine.holdsOrders = false;
    }

    asio::awaitable<void> holdStores()
    {
        auto& engine = *drawAgent().engine;
        engine.holdsStores = true;
        co_await pause(m_series.drawDuration(500ms, 3000ms));
        engine.holdsStores = false;
    }

    asio::awaitable<void> spoilPieces()
    {
        auto& engine = *drawAgent().engine;
        for (unsigned i = 0; i < 3; ++i) {
            engine.spoilPiece();
            co_await pause(m_series.drawDuration(0ms, 500ms));
        }
    }

    asio::awaitable<void> freezeAgent()
    {
        auto& process = *drawAgent().process;
        process.signal(SIGSTOP);
        co_await pause(m_series.drawDuration(500ms, 6000ms));
        process.signal(SIGCONT);
    }

    asio::awaitable<void> killAgent()
    {
        auto& process = *drawAgent().process;
        if (!process.isRunning())
            co_return;
        process.kill();
        co_await pause(m_series.drawDuration(100ms, 4000ms));
        process.start();
    }

    asio::awaitable<void> restartEngine()
    {
        drawAgent().engine->restart();
        co_return;
    }

    // Without further faults, each engine must hold the last version, and the requests must be served.
    void checkRecovery()
    {
        auto since = SteadyClock::now();
        auto isSound = [&](auto& agent) { return agent.engine->isSound(m_version); };
        m_series.runWhile([&] { return !std::all_of(m_fleet.agents.begin(), m_fleet.agents.end(), isSound) && SteadyClock::now() < since + hangTimeout; });
        m_recoveryTime = std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - since);
        for (auto& agent : m_fleet.agents) {
            if (!isSound(agent))
                m_fleet.ledger.addViolation("RECOVER", agent.engine->describe() + " and not version " + std::to_string(m_version));
        }
        m_series.runFor(1s);
        auto measuredSince = SteadyClock::now();
        auto runsBefore = countRuns();
        m_series.runFor(measuredTime);
        if (countRuns() == runsBefore)
            m_fleet.ledger.addViolation("RECOVER", "no engine runs a request after the last fault");
        auto [ended, served] = m_fleet.ledger.endsSince(measuredSince);
        if (ended == 0 || served * 10 < ended * 9)
            m_fleet.ledger.addViolation("RECOVER", std::to_string(served) + " of " + std::to_string(ended) + " requests are served after the last fault");
    }

    void checkProcesses()
    {
        if (auto status = m_fleet.routers[0].process->takeEnd())
            m_fleet.ledger.addViolation("ENDED", "the router ended by itself, wait status " + std::to_string(*status));
        for (auto& agent : m_fleet.agents) {
            if (auto status = agent.process->takeEnd())
                m_fleet.ledger.addViolation("ENDED", agent.engine->describe() + ": its agent ended by itself, wait status " + std::to_string(*status));
        }
    }

    SoakFleet m_fleet;
    FaultSeries m_series;
    SoakCallers m_callers;
    uint64_t m_version = 1;
    std::chrono::milliseconds m_recoveryTime { 0 };
};

} // namespace

// Guards against engines that run requests on layers that they loaded from pieces that were missing, bad or of another
// version: an order or a store took effect seconds after it was sent, beside what the agent or its successor did meanwhile.
Test(WeightsSoak, runsNothingOnUnsoundLayers)
{
    // A seed with which agents that do not verify the pieces after a late acceptance break the promise.
    auto first = numberFromEnvironment("LAVENDERLOFT_SOAK_SEED", 11);
    auto runs = numberFromEnvironment("LAVENDERLOFT_SOAK_RUNS", 1);
    auto engines = numberFromEnvironment("LAVENDERLOFT_SOAK_ENGINES", 4);
    size_t broken = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        WeightsSoakRun run(seed, engines);
        auto violations = run.run();
        std::cerr << "weights soak seed " << seed << ": " << run.describe() << "; " << violations.size() << " broken promises" << std::endl;
        for (auto& violation : violations)
            std::cerr << "  " << violation << std::endl;
        broken += violations.empty() ? 0 : 1;
    }
    cr_assert_eq(broken, 0, "%zu of %u seeds broke a promise", broken, runs);
}
