#include "Bench/LoadBench.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/BenchFleet.h"
#include "Bench/BenchOptions.h"
#include "Bench/ChildProcess.h"
#include "Bench/LoadGenerator.h"
#include "Observability/Log.h"
#include "Process/RouterBuilder.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Lavenderloft::Bench {

namespace {

    constexpr unsigned agentCount = 4;
    constexpr unsigned routerProcessors = 2;
    constexpr uint64_t streamBudgetBytes = 64 * 1024 * 1024;

    struct LoadOptions {
        int seconds = 5;
        int connections = 64;
        int rate = 1000;
        int seed = 1;
        // Nonzero to write the router's log to /dev/null, zero to disable logging.
        int log = 1;
        // Data frames of 64 bytes in each response, as a model engine streams tokens.
        int parts = 1;
    };

    void runAgents(ParentLink& parent, const LoadOptions& load)
    {
        FakeAgentOptions options;
        options.limit = 1000;
        options.parts = static_cast<unsigned>(std::max(1, load.parts));
        options.weightsDigest = benchDigest;
        std::vector<std::unique_ptr<FakeAgent>> agents;
        std::string addresses;
        for (unsigned i = 0; i < agentCount; ++i) {
            agents.push_back(std::make_unique<FakeAgent>(options));
            addresses += agents.back()->address() + " ";
        }
        parent.writeLine(addresses);
        parent.readLine();
    }

    void runRouter(ParentLink& parent, const LoadOptions& options)
    {
        if (options.log && std::freopen("/dev/null", "w", stderr))
            Observability::configureLogging(Observability::Level::Info, Observability::Layout::Plain);
        Base::SystemClock clock;
        Observability::Metrics metrics;
        FakeControl control(makeRouterMember("router-1", "dc-1"));
        control.setDocument(makeDocument({ "dc-1" }, { "small" }));
        std::istringstream addresses(*parent.readLine());
        std::vector<Membership::Member> members;
        std::string address;
        while (addresses >> address)
            members.push_back(makeAgentMember("agent-" + std::to_string(members.size()), address, "dc-1", "small", { 0, 1000, 0, 0, true }));
        control.setMembers(members);
        auto router = Process::RouterBuilder(makeRouterSettings("router-1", streamBudgetBytes), control, clock, metrics)
                          .random(std::make_shared<Base::SeededRandom>(static_cast<uint64_t>(options.seed)))
                          .build();
        parent.writeLine(std::to_string(router->callersPort()));
        parent.readLine();
    }

    PlannedCall smallCall(size_t index)
    {
        PlannedCall call;
        call.request.method = "POST";
        call.request.target = "/small";
        call.request.headers = { { "X-Organisation", "school-" + std::to_string(index % 10) } };
        call.request.body = "request " + std::to_string(index);
        return call;
    }

    bool includeAll(const CallResult&) { return true; }

    nlohmann::ordered_json summarise(const std::vector<CallResult>& results, double seconds)
    {
        auto succeeded = std::count_if(results.begin(), results.end(), [](auto& result) { return result.status == 200; });
        return {
            { "calls", results.size() },
            { "failed", results.size() - static_cast<size_t>(succeeded) },
            { "callsPerSecond", static_cast<double>(succeeded) / seconds },
            { "medianMs", percentile(results, 0.5, includeAll) },
            { "p95Ms", percentile(results, 0.95, includeAll) },
            { "p99Ms", percentile(results, 0.99, includeAll) },
        };
    }

    // Runs a phase and adds the router's CPU time per call to its summary.
    nlohmann::ordered_json measure(const ChildProcess& router, const std::function<std::vector<CallResult>()>& phase)
    {
        auto usedBefore = router.processorSeconds();
        auto startedAt = std::chrono::steady_clock::now();
        auto results = phase();
        std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - startedAt;
        auto summary = summarise(results, elapsed.count());
        summary["routerMicrosecondsPerCall"] = (router.processorSeconds() - usedBefore) * 1e6 / static_cast<double>(std::max<size_t>(1, results.size()));
        return summary;
    }

} // namespace

CommandLine::ExitCode LoadBench::run(const std::vector<std::string>& arguments)
{
    LoadOptions options;
    if (auto code = parseOptions(*this, arguments, { { "seconds", &options.seconds, "duration of each phase in seconds" }, { "connections", &options.connections, "connections of the saturated phase" }, { "rate", &options.rate, "calls per second of the paced phase" }, { "seed", &options.seed, "seed of the router's random source" }, { "log", &options.log, "1 to write the router's log to /dev/null, 0 to disable logging" }, { "parts", &options.parts, "data frames of 64 bytes in each response" } }))
        return *code;
    ChildProcess agents([&](ParentLink& parent) { runAgents(parent, options); });
    ChildProcess router([&](ParentLink& parent) { runRouter(parent, options); });
    router.useProcessors(0, routerProcessors);
    router.writeLine(agents.readLine());
    LoadGenerator generator({ { "127.0.0.1", static_cast<uint16_t>(std::stoi(router.readLine())) } });
    std::chrono::seconds duration(options.seconds);
    constexpr std::chrono::seconds warmUp { 1 };
    generator.runClosed(8, warmUp, smallCall);
    nlohmann::ordered_json report;
    report["benchmark"] = "load";
    report["seed"] = options.seed;
    report["parts"] = options.parts;
    report["log"] = options.log != 0;
    report["routerProcessors"] = routerProcessors;
    report["sequential"] = measure(router, [&] { return generator.runClosed(1, duration, smallCall); });
    report["paced"] = measure(router, [&] { return generator.runPaced(options.rate, duration, smallCall); });
    report["saturated"] = measure(router, [&] { return generator.runClosed(static_cast<size_t>(options.connections), duration, smallCall); });
    report["routerResidentBytes"] = router.residentBytes();
    std::cout << report.dump(2) << '\n';
    return CommandLine::ExitCode::Success;
}

} // namespace Lavenderloft::Bench
