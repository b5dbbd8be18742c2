#include "Http/PersistentHttpClient.h"
#include "Soak/SoakFleet.h"

#include <criterion/criterion.h>
#include <sys/stat.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Soak;
using namespace std::chrono_literals;

namespace {

// Runs the stand-ins until the condition holds. Returns false if it does not within the time that ends a hang.
bool runUntil(SoakFleet& fleet, const std::function<bool()>& condition)
{
    constexpr auto hangTimeout = 20s;
    auto until = SteadyClock::now() + hangTimeout;
    while (!condition() && SteadyClock::now() < until)
        fleet.context.run_one_for(20ms);
    return condition();
}

// Keeps the last response of one path of a router.
asio::awaitable<void> poll(SoakFleet& fleet, Http::Endpoint endpoint, std::string path, std::string& body)
{
    while (true) {
        Http::PersistentHttpClient client(fleet.context.get_executor(), endpoint);
        Http::HttpRequest request;
        request.target = path;
        auto result = co_await client.call(std::move(request), 500ms);
        if (Base::succeeded(result) && Base::valueOf(result).status == 200)
            body = Base::valueOf(result).body;
        co_await pause(50ms);
    }
}

bool knowsRouters(const std::string& metrics, unsigned count)
{
    return metrics.find("lavenderloft_routers_known " + std::to_string(count)) != std::string::npos;
}

} // namespace

// Guards against a router that never finds the others: its seeds were outdated when it started, and it went on to use them
// after the settings file named new ones.
Test(RouterProcesses, useNewSeedsAfterAReload)
{
    SoakFleet fleet(241, 2, false);
    std::string metrics;
    asio::co_spawn(fleet.context, poll(fleet, fleet.metricsOf(1), "/metrics", metrics), asio::detached);
    cr_assert(runUntil(fleet, [&] { return !metrics.empty(); }));
    cr_assert(knowsRouters(metrics, 1), "only itself");
    fleet.writeSettings(1, { 0 });
    fleet.routers[1].process->signal(SIGHUP);
    cr_assert(runUntil(fleet, [&] { return knowsRouters(metrics, 2); }));
    fleet.removeFolder();
}

// Guards against a router that ends, with all requests in it, because whoever read its log has closed the pipe.
Test(RouterProcesses, goOnWhenNobodyReadsTheirLog)
{
    SoakFleet fleet(242, 1);
    fleet.routers[0].process->kill();
    auto pipe = fleet.describeFolder() + "/log-pipe";
    cr_assert_eq(::mkfifo(pipe.c_str(), 0600), 0);
    int reader = ::open(pipe.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
    fleet.routers[0].process = std::make_unique<NodeProcess>("node-router", fleet.describeFolder() + "/router-0.yaml", pipe);
    std::string metrics;
    asio::co_spawn(fleet.context, poll(fleet, fleet.metricsOf(0), "/metrics", metrics), asio::detached);
    cr_assert(runUntil(fleet, [&] { return !metrics.empty(); }));
    ::close(reader);
    // Each reload is logged.
    for (unsigned i = 0; i < 20; ++i) {
        fleet.routers[0].process->signal(SIGHUP);
        fleet.context.run_for(20ms);
    }
    metrics.clear();
    cr_assert(runUntil(fleet, [&] { return !metrics.empty(); }));
    cr_assert_not(fleet.routers[0].process->takeEnd().has_value());
    fleet.removeFolder();
}
