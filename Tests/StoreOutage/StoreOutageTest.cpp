#include "Soak/FaultSeries.h"
#include "Soak/RouterMetrics.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Soak;
using namespace std::chrono_literals;

namespace {

constexpr auto startTimeout = 10s;
// In which a change has to be in force at every router (config_apply_ms in the settings).
constexpr auto applyTime = 2000ms;
constexpr auto settleTime = 2500ms;

// Real routers and a store, without callers.
class OutageFleet {
public:
    OutageFleet(unsigned seed, unsigned routers)
        : m_fleet(seed, routers)
        , m_series(m_fleet.context, seed)
    {
        for (unsigned i = 0; i < routers; ++i)
            asio::co_spawn(m_fleet.context, watch(i), asio::detached);
        waitUntilReady();
    }

    ~OutageFleet() { m_fleet.removeFolder(); }

    SoakFleet& fleet() { return m_fleet; }

    // Whether the router would get requests now.
    bool isReady(unsigned router) const { return m_fleet.routers[router].isReady; }
    // Version of the configuration at the router.
    uint64_t version(unsigned router) { return m_versions[router]; }
    // Least version with which the router was ready since it was started.
    uint64_t leastReadyVersion(unsigned router) { return m_leastReadyVersions[router]; }

    void runFor(std::chrono::milliseconds time) { m_series.runFor(time); }

    void waitUntilReady()
    {
        auto startedBy = SteadyClock::now() + startTimeout;
        m_series.runWhile([&] { return !areAllReady() && SteadyClock::now() < startedBy; });
        cr_assert(areAllReady(), "logs in %s", m_fleet.describeFolder().c_str());
    }

    // Publishes a configuration and waits until it is in force everywhere.
    void changeConfiguration()
    {
        m_fleet.publishConfiguration();
        runFor(applyTime);
        for (unsigned i = 0; i < m_fleet.routers.size(); ++i)
            cr_assert_eq(version(i), m_fleet.configurationVersion());
    }

    // The process ends without a signal to the others.
    void kill(unsigned router)
    {
        m_fleet.routers[router].process->kill();
        m_fleet.routers[router].isReady = false;
        m_versions.erase(router);
        m_leastReadyVersions.erase(router);
    }

    void signalOthers(unsigned router, int number)
    {
        for (unsigned other = 0; other < m_fleet.routers.size(); ++other) {
            if (other != router)
                m_fleet.routers[other].process->signal(number);
        }
    }

    void start(unsigned router) { m_fleet.routers[router].process->start(); }

private:
    bool areAllReady() const
    {
        return std::all_of(m_fleet.routers.begin(), m_fleet.routers.end(), [](auto& router) { return router.isReady; });
    }

    asio::awaitable<void> watch(unsigned router)
    {
        while (true) {
            // In this order a version is not older than the readiness.
            bool isReady = co_await readReadiness(m_fleet, router);
            auto metrics = co_await readMetrics(m_fleet, router);
            if (metrics)
                record(router, isReady, metrics->configurationVersion);
            co_await pause(20ms);
        }
    }

    void record(unsigned router, bool isReady, uint64_t version)
    {
        m_fleet.routers[router].isReady = isReady;
        m_versions[router] = version;
        if (!isReady)
            return;
        auto& least = m_leastReadyVersions.try_emplace(router, version).first->second;
        least = std::min(least, version);
    }

    SoakFleet m_fleet;
    FaultSeries m_series;
    std::map<unsigned, uint64_t> m_versions;
    std::map<unsigned, uint64_t> m_leastReadyVersions;
};

} // namespace

// Guards against requests that are served by an old configuration after the store was silent: a watch that was sent meanwhile
// is never answered, and nobody asked until its timeout, which had grown with each one.
Test(StoreOutage, aChangeAfterASilentOutageIsInForceInTime)
{
    OutageFleet test(701, 1);
    test.changeConfiguration();
    test.fleet().store.isSilent = true;
    test.runFor(8s);
    test.fleet().store.isSilent = false;
    test.changeConfiguration();
}

// Guards against a router that starts after the store has returned from an older copy and is sent requests before it knows what
// the other routers retain: here they are suspended for a moment, so that it hears of them late.
Test(StoreOutage, aRouterThatStartsAfterAReturnIsReadyOnceItKnowsWhatTheOthersRetain)
{
    OutageFleet test(702, 3);
    test.runFor(3s);
    test.changeConfiguration();
    test.fleet().store.isRejecting = true;
    test.runFor(500ms);
    test.fleet().store.returnFromCopy(4s);
    test.fleet().store.isRejecting = false;
    test.runFor(settleTime);
    cr_assert_eq(test.version(0), test.fleet().configurationVersion());
    for (unsigned router : { 0, 2 }) {
        test.kill(router);
        test.runFor(settleTime);
        test.signalOthers(router, SIGSTOP);
        test.start(router);
        test.runFor(1s);
        test.signalOthers(router, SIGCONT);
        test.waitUntilReady();
        test.runFor(settleTime);
        cr_expect_eq(test.leastReadyVersion(router), test.fleet().configurationVersion(), "router %u was ready with version %lu", router, test.leastReadyVersion(router));
    }
}

// Guards against a router that is never ready because it waits for others that it can't reach.
Test(StoreOutage, aRouterThatHearsOfNoOtherIsReadyAfterATime)
{
    OutageFleet test(703, 1);
    cr_expect_eq(test.version(0), test.fleet().configurationVersion());
}
