#include "Bench/SlowReadersBench.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/BenchFleet.h"
#include "Bench/BenchOptions.h"
#include "Bench/ChildProcess.h"
#include "Bench/LoadGenerator.h"
#include "Bench/SlowReaders.h"
#include "Bench/UnboundedChannels.h"
#include "Process/RouterBuilder.h"
#include "Transport/TargetClient.h"

#include <algorithm>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <thread>

namespace Lavenderloft::Bench {

namespace {

    constexpr unsigned routerProcessors = 2;
    constexpr size_t partBytes = 16 * 1024;
    constexpr size_t bytesPerRead = 256;
    constexpr std::chrono::milliseconds readInterval { 200 };
    constexpr std::chrono::seconds drainTimeout { 60 };

    constexpr unsigned requestLimit = 100000;

    void runAgents(ParentLink& parent, const SlowReadersOptions& options)
    {
        FakeAgentOptions small;
        small.limit = requestLimit;
        small.weightsDigest = benchDigest;
        auto large = small;
        large.partBytes = partBytes;
        large.parts = static_cast<unsigned>(static_cast<size_t>(options.responseKibibytes) * 1024 / partBytes);
        FakeAgent smallAgent(small);
        FakeAgent largeAgent(large);
        parent.writeLine(smallAgent.address());
        parent.writeLine(largeAgent.address());
        parent.readLine();
    }

    void runRouter(ParentLink& parent, const SlowReadersOptions& options, bool unbounded)
    {
        Base::SystemClock clock;
        Observability::Metrics metrics;
        FakeControl control(makeRouterMember("router-1", "dc-1"));
        control.setDocument(makeDocument({ "dc-1" }, { "small", "large" }));
        Membership::TargetLoad load { 0, requestLimit, 0, 0, true };
        auto small = makeAgentMember("agent-1", *parent.readLine(), "dc-1", "small", load);
        auto large = makeAgentMember("agent-2", *parent.readLine(), "dc-1", "large", load);
        control.setMembers({ small, large });
        auto budget = unbounded ? std::numeric_limits<uint64_t>::max() / 2 : static_cast<uint64_t>(options.budgetMebibytes) * 1024 * 1024;
        std::shared_ptr<Routing::TargetChannels> channels = std::make_shared<Transport::TargetClients>(Transport::makeLoopbackCredentials());
        if (unbounded)
            channels = std::make_shared<UnboundedChannels>(channels);
        auto router = Process::RouterBuilder(makeRouterSettings("router-1", budget), control, clock, metrics)
                          .random(std::make_shared<Base::SeededRandom>(static_cast<uint64_t>(options.seed)))
                          .channels(channels)
                          .build();
        parent.writeLine(std::to_string(router->callersPort()));
        while (parent.readLine()) {
            parent.writeLine(std::to_string(router->peakStreamBytes()));
            parent.writeLine(std::to_string(router->abortedStreams()));
        }
    }

    PlannedCall fastCall(size_t index)
    {
        PlannedCall call;
        call.request.method = "POST";
        call.request.target = "/small";
        call.request.body = "request " + std::to_string(index);
        return call;
    }

    bool includeAll(const CallResult&) { return true; }

    size_t countFailed(const std::vector<CallResult>& results)
    {
        return static_cast<size_t>(std::count_if(results.begin(), results.end(), [](auto& result) { return result.status != 200; }));
    }

    nlohmann::ordered_json toJson(const SlowReadersResult& result)
    {
        return {
            { "budgetBytes", result.budgetBytes },
            { "peakHeldBytes", result.peakHeldBytes },
            { "heldOfBudget", static_cast<double>(result.peakHeldBytes) / static_cast<double>(result.budgetBytes) },
            { "residentBytesBefore", result.residentBytesBefore },
            { "residentBytesBurst", result.residentBytesBurst },
            { "residentBytesSettled", result.residentBytesSettled },
            { "residentBytesPeak", result.residentBytesPeak },
            { "readers", result.readers },
            { "readersCut", result.readersCut },
            { "answersCut", result.answersCut },
            { "answersWhole", result.answersWhole },
            { "cutButWhole", static_cast<int>(result.readersCut) - static_cast<int>(result.answersCut) },
            { "fastCalls", result.fastCalls },
            { "fastFailed", result.fastFailed },
            { "medianAloneMs", result.medianAloneMs },
            { "medianBesideMs", result.medianBesideMs },
            { "medianRatio", result.medianBesideMs / result.medianAloneMs },
            { "p95AloneMs", result.p95AloneMs },
            { "p95BesideMs", result.p95BesideMs },
            { "p95Ratio", result.p95BesideMs / result.p95AloneMs },
        };
    }

} // namespace

std::string toText(const SlowReadersResult& result)
{
    return toJson(result).dump();
}

SlowReadersResult runSlowReaders(const SlowReadersOptions& options, bool unbounded)
{
    ChildProcess agents([&](ParentLink& parent) { runAgents(parent, options); });
    ChildProcess router([&](ParentLink& parent) { runRouter(parent, options, unbounded); });
    router.useProcessors(0, routerProcessors);
    router.writeLine(agents.readLine());
    router.writeLine(agents.readLine());
    Http::Endpoint endpoint { "127.0.0.1", static_cast<uint16_t>(std::stoi(router.readLine())) };
    LoadGenerator generator({ endpoint });
    std::chrono::seconds duration(options.seconds);
    constexpr std::chrono::seconds warmUp { 1 };
    generator.runPaced(options.rate, warmUp, fastCall);

    SlowReadersResult result;
    result.budgetBytes = static_cast<uint64_t>(options.budgetMebibytes) * 1024 * 1024;
    auto alone = generator.runPaced(options.rate, duration, fastCall);
    result.residentBytesBefore = router.residentBytes();
    SlowReaders readers(endpoint, "/large", static_cast<unsigned>(options.readers), bytesPerRead, readInterval);
    // Memory and latency are measured after the initial burst, when the readers' buffers are full.
    std::this_thread::sleep_for(warmUp);
    result.residentBytesBurst = router.residentBytes();
    auto beside = generator.runPaced(options.rate, duration, fastCall);
    result.residentBytesSettled = router.residentBytes();
    result.residentBytesPeak = router.peakResidentBytes();
    auto counts = readers.drain(drainTimeout);
    router.writeLine("report");
    result.peakHeldBytes = std::stoull(router.readLine());
    result.readersCut = static_cast<unsigned>(std::stoul(router.readLine()));
    result.readers = counts.connected;
    result.answersCut = counts.truncated;
    result.answersWhole = counts.complete;
    result.fastCalls = alone.size() + beside.size();
    result.fastFailed = countFailed(alone) + countFailed(beside);
    result.medianAloneMs = percentile(alone, 0.5, includeAll);
    result.medianBesideMs = percentile(beside, 0.5, includeAll);
    result.p95AloneMs = percentile(alone, 0.95, includeAll);
    result.p95BesideMs = percentile(beside, 0.95, includeAll);
    return result;
}

CommandLine::ExitCode SlowReadersBench::run(const std::vector<std::string>& arguments)
{
    SlowReadersOptions options;
    if (auto code = parseOptions(*this, arguments, { { "readers", &options.readers, "slow readers" }, { "seconds", &options.seconds, "duration of each phase in seconds" }, { "rate", &options.rate, "fast calls per second" }, { "budget-mebibytes", &options.budgetMebibytes, "byte budget of all streams, in MiB" }, { "answer-kibibytes", &options.responseKibibytes, "length of a slowly read response, in KiB" }, { "seed", &options.seed, "seed of the router's random source" } }))
        return *code;
    nlohmann::ordered_json report;
    report["benchmark"] = "slow-readers";
    report["seed"] = options.seed;
    report["bounded"] = toJson(runSlowReaders(options, false));
    report["unboundedBaseline"] = toJson(runSlowReaders(options, true));
    std::cout << report.dump(2) << '\n';
    return CommandLine::ExitCode::Success;
}

} // namespace Lavenderloft::Bench
