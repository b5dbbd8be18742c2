#include "Soak/FaultSeries.h"
#include "Soak/RouterMetrics.h"
#include "Soak/SoakCallers.h"

#include <criterion/criterion.h>
#include <iostream>

using namespace Lavenderloft;
using namespace Lavenderloft::Soak;
using namespace std::chrono_literals;

namespace {

constexpr auto startTimeout = 10s;
// In which a change has to be in force at every router (config_apply_ms in the settings).
constexpr auto applyTime = 2000ms;
constexpr auto settleTime = 2500ms;
constexpr unsigned callersPerKind = 4;

// One run: routers, callers, and a store that returns from an older copy while the operators go on.
class StoreReturnRun {
public:
    explicit StoreReturnRun(unsigned seed)
        : m_fleet(seed, routerCount)
        , m_series(m_fleet.context, seed)
        , m_callers(m_fleet, Expectation::Answers, seed)
    {
    }

    // Returns the broken promises.
    std::vector<std::string> run(unsigned returns)
    {
        for (unsigned i = 0; i < routerCount; ++i)
            asio::co_spawn(m_fleet.context, watchMetrics(i), asio::detached);
        m_callers.start(callersPerKind);
        auto startedBy = SteadyClock::now() + startTimeout;
        m_series.runWhile([&] { return !areAllReady() && SteadyClock::now() < startedBy; });
        m_series.runFor(1s);
        auto since = SteadyClock::now();
        auto drained = static_cast<unsigned>(m_series.random()() % m_fleet.targets.size());
        m_fleet.publishTarget(drained, "draining");
        for (unsigned i = 0; i < lostConfigurations; ++i)
            m_fleet.publishConfiguration();
        m_fleet.targets[drained]->drainedSince = SteadyClock::now() + applyTime;
        m_series.runFor(applyTime + m_series.drawDuration(200ms, 1500ms));
        for (unsigned i = 0; i < returns; ++i) {
            returnStore();
            restartRouter();
        }
        m_series.runFor(settleTime);
        checkOutcome(since);
        m_callers.stop();
        auto stoppedBy = SteadyClock::now() + 2 * m_callers.deadline;
        m_series.runWhile([&] { return !m_callers.haveAllStopped() && SteadyClock::now() < stoppedBy; });
        if (m_fleet.ledger.violations().empty())
            m_fleet.removeFolder();
        return m_fleet.ledger.violations();
    }

    std::string describe() const { return std::to_string(m_lostWrites) + " writes lost, " + std::to_string(m_fleet.ledger.requestCount()) + " requests; logs in " + m_fleet.describeFolder(); }

private:
    static constexpr unsigned routerCount = 3;
    // So many that the revisions after the return stay below those before.
    static constexpr unsigned lostConfigurations = 5;

    bool areAllReady() const
    {
        return std::all_of(m_fleet.routers.begin(), m_fleet.routers.end(), [](auto& router) { return router.isReady; });
    }

    // A router that starts after the return. Its process before says nothing of what it knows.
    void restartRouter()
    {
        auto index = static_cast<unsigned>(m_series.random()() % routerCount);
        auto& router = m_fleet.routers[index];
        router.stoppedAt = SteadyClock::now();
        router.process->signal(SIGTERM);
        bool hasEnded = false;
        m_series.runWhile([&] {
            hasEnded = hasEnded || router.process->takeEnd().has_value();
            return !hasEnded && SteadyClock::now() < router.stoppedAt + SoakFleet::grace;
        });
        if (!hasEnded)
            m_fleet.ledger.addViolation("STOP", router.address + " did not end within the grace period");
        router.process->kill();
        m_metrics[index] = {};
        router.process->start();
    }

    // The store is away for a moment, rejecting or silent. The operators go on with another version of the configuration, with a revision that was
    // given out before. The rest of what was lost is written again in the time that targets have to restore entries.
    void returnStore()
    {
        bool isSilent = m_series.random()() % 2 == 0;
        (isSilent ? m_fleet.store.isSilent : m_fleet.store.isRejecting) = true;
        m_series.runFor(m_series.drawDuration(50ms, 600ms));
        auto lost = m_fleet.store.returnFromCopy(m_series.drawDuration(1000ms, 15000ms));
        m_lostWrites += lost.size();
        m_fleet.store.isRejecting = false;
        m_fleet.store.isSilent = false;
        m_fleet.publishConfiguration();
        m_series.runFor(m_series.drawDuration(100ms, 1500ms));
        m_fleet.store.writeAgain(lost);
        m_series.runFor(m_series.drawDuration(200ms, 1000ms));
    }

    asio::awaitable<void> watchMetrics(unsigned index)
    {
        while (true) {
            auto metrics = co_await readMetrics(m_fleet, index);
            if (metrics)
                record(m_metrics[index], *metrics, index);
            co_await pause(50ms);
        }
    }

    void record(RouterMetrics& known, const RouterMetrics& metrics, unsigned index)
    {
        if (metrics.configurationVersion < known.configurationVersion)
            m_fleet.ledger.addViolation("UNDONE", "router " + std::to_string(index) + " went from version " + std::to_string(known.configurationVersion) + " of the configuration to " + std::to_string(metrics.configurationVersion));
        known = metrics;
    }

    void checkOutcome(SteadyClock::time_point since)
    {
        auto& ledger = m_fleet.ledger;
        for (unsigned i = 0; i < routerCount; ++i) {
            auto& metrics = m_metrics[i];
            if (metrics.configurationVersion != m_fleet.configurationVersion())
                ledger.addViolation("BEHIND", "router " + std::to_string(i) + " has version " + std::to_string(metrics.configurationVersion) + " of the configuration instead of " + std::to_string(m_fleet.configurationVersion()));
            if (metrics.storeEra != m_fleet.store.era())
                ledger.addViolation("BEHIND", "router " + std::to_string(i) + " has era " + std::to_string(metrics.storeEra));
        }
        auto [ended, served] = ledger.endsSince(since);
        if (ended == 0 || served * 10 < ended * 9)
            ledger.addViolation("SERVED", std::to_string(served) + " of " + std::to_string(ended) + " requests were served");
    }

    SoakFleet m_fleet;
    FaultSeries m_series;
    SoakCallers m_callers;
    RouterMetrics m_metrics[routerCount];
    size_t m_lostWrites = 0;
};

} // namespace

// Guards against routers that undo or never learn what is published once the store has returned from an older copy, once or
// twice: a configuration, a target that drains, and targets that the copy lacks.
Test(StoreReturn, undoesNothingAtRealRouters)
{
    auto first = numberFromEnvironment("LAVENDERLOFT_SOAK_SEED", 601);
    auto runs = numberFromEnvironment("LAVENDERLOFT_SOAK_RUNS", 3);
    size_t broken = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        StoreReturnRun run(seed);
        auto violations = run.run(1 + seed % 2);
        std::cerr << "store return seed " << seed << ": " << run.describe() << "; " << violations.size() << " broken promises" << std::endl;
        for (auto& violation : violations)
            std::cerr << "  " << violation << std::endl;
        broken += violations.empty() ? 0 : 1;
    }
    cr_assert_eq(broken, 0);
}
