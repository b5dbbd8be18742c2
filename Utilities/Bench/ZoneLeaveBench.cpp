#include "Bench/ZoneLeaveBench.h"

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Bench/BenchFleet.h"
#include "Bench/BenchOptions.h"
#include "Bench/LoadGenerator.h"
#include "Process/RouterBuilder.h"
#include "Routing/RoundRobinPolicy.h"

#include <array>
#include <condition_variable>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace Lavenderloft::Bench {

namespace {

    using SteadyClock = std::chrono::steady_clock;
    using namespace std::chrono_literals;

    constexpr size_t dataCentreCount = 3;
    constexpr size_t agentsPerDataCentre = 2;
    constexpr unsigned fullLimit = 16;
    constexpr unsigned coldLimit = 2;
    constexpr unsigned queueLimit = 64;
    constexpr std::chrono::milliseconds serviceTime { 100 };
    constexpr double serviceTimeJitter = 0.2;
    constexpr uint64_t streamBudgetBytes = 64 * 1024 * 1024;

    // Interval at which routers receive the load of agents, as by gossip.
    constexpr auto gossipInterval = 250ms;

    // Propagation delays of a new document: it reaches the routers at different times, and the agents later than the
    // first router.
    constexpr std::array<SteadyClock::duration, dataCentreCount> routerDelays { 0ms, 700ms, 1400ms };
    constexpr auto agentDelay = 1000ms;

    // The limit of a returned target doubles after each window.
    constexpr auto warmWindow = 1000ms;

    // Time after the return that is reported as disturbed.
    constexpr auto settleTime = 3000ms;

    enum Group : unsigned {
        Hazard,
        Interactive,
        Summary,
    };

    std::string dataCentreName(size_t index)
    {
        return "dc-" + std::to_string(index + 1);
    }

    // Agents and routers of three data centres, of which the first leaves and returns.
    class Fleet {
    public:
        Fleet(const ZoneLeaveOptions& options, bool roundRobin)
        {
            FakeAgentOptions agentOptions;
            agentOptions.limit = fullLimit;
            agentOptions.queueLimit = queueLimit;
            agentOptions.serviceTime = serviceTime;
            agentOptions.weightsDigest = benchDigest;
            agentOptions.serviceTimeJitter = serviceTimeJitter;
            for (size_t i = 0; i < dataCentreCount * agentsPerDataCentre; ++i) {
                agentOptions.seed = static_cast<uint64_t>(options.seed) * 100 + i;
                m_agents.push_back(std::make_unique<FakeAgent>(agentOptions));
            }
            for (size_t i = 0; i < dataCentreCount; ++i) {
                auto vm = "router-" + std::to_string(i + 1);
                auto& control = *m_controls.emplace_back(std::make_unique<FakeControl>(makeRouterMember(vm, dataCentreName(i))));
                control.setDocument(document(false));
                control.setMembers(members());
                Process::RouterBuilder builder(makeRouterSettings(vm, streamBudgetBytes), control, m_clock, m_metrics);
                builder.random(std::make_shared<Base::SeededRandom>(static_cast<uint64_t>(options.seed) + i));
                if (roundRobin)
                    builder.policy(std::make_shared<Routing::RoundRobinPolicy>());
                m_routers.push_back(builder.build());
            }
        }

        std::vector<Http::Endpoint> endpoints() const
        {
            std::vector<Http::Endpoint> endpoints;
            for (auto& router : m_routers)
                endpoints.push_back({ "127.0.0.1", router->callersPort() });
            return endpoints;
        }

        void publishMembers()
        {
            for (auto& control : m_controls)
                control->setMembers(members());
        }

        void publishToRouter(size_t router, bool out) { m_controls[router]->setDocument(document(out)); }

        void setLeavingAgentsOut(bool out)
        {
            for (size_t i = 0; i < agentsPerDataCentre; ++i) {
                m_agents[i]->setLimit(out ? fullLimit : coldLimit);
                m_agents[i]->setOut(out);
            }
        }

        void setLeavingAgentsLimit(unsigned limit)
        {
            for (size_t i = 0; i < agentsPerDataCentre; ++i)
                m_agents[i]->setLimit(limit);
        }

        uint64_t permitsOfLeavingAgents() const
        {
            uint64_t permits = 0;
            for (size_t i = 0; i < agentsPerDataCentre; ++i)
                permits += m_agents[i]->counts().permits;
            return permits;
        }

        SteadyClock::time_point lastPermitOfLeavingAgents() const
        {
            SteadyClock::time_point last;
            for (size_t i = 0; i < agentsPerDataCentre; ++i)
                last = std::max(last, m_agents[i]->counts().lastPermit);
            return last;
        }

        size_t countExecutedTwice() const
        {
            std::map<std::string, unsigned> runs;
            for (auto& agent : m_agents) {
                for (auto& [sequence, count] : agent->runs())
                    runs[sequence] += count;
            }
            return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [](auto& entry) { return entry.second > 1; }));
        }

    private:
        DesiredState::Document document(bool out) const
        {
            std::vector<std::string> dataCentres;
            for (size_t i = 0; i < dataCentreCount; ++i)
                dataCentres.push_back(dataCentreName(i));
            auto document = makeDocument(dataCentres, { "assistant" });
            // One region, because the data centres are close to each other.
            for (auto& dataCentre : document.dataCentres)
                dataCentre.region = "region";
            if (out)
                document.dataCentres[0].state = DesiredState::DataCentreState::Out;
            return document;
        }

        std::vector<Membership::Member> members() const
        {
            std::vector<Membership::Member> members;
            for (size_t i = 0; i < m_agents.size(); ++i) {
                auto vm = "agent-" + std::to_string(i + 1);
                members.push_back(makeAgentMember(vm, m_agents[i]->address(), dataCentreName(i / agentsPerDataCentre), "assistant", m_agents[i]->load()));
            }
            return members;
        }

        Base::SystemClock m_clock;
        Observability::Metrics m_metrics;
        std::vector<std::unique_ptr<FakeAgent>> m_agents;
        std::vector<std::unique_ptr<FakeControl>> m_controls;
        std::vector<std::unique_ptr<Process::RouterProcess>> m_routers;
    };

    // Runs scheduled events and publishes the members periodically on a dedicated thread.
    class EventSchedule {
    public:
        EventSchedule(Fleet& fleet, SteadyClock::time_point startAt)
            : m_fleet(fleet)
            , m_startAt(startAt)
        {
        }

        ~EventSchedule()
        {
            {
                std::lock_guard guard(m_lock);
                m_stopped = true;
            }
            m_wake.notify_all();
            m_thread.join();
        }

        void add(SteadyClock::duration time, std::function<void()> event) { m_events.emplace(m_startAt + time, std::move(event)); }

        void start()
        {
            m_thread = std::thread([this] { run(); });
        }

    private:
        void run()
        {
            auto nextGossip = m_startAt;
            std::unique_lock guard(m_lock);
            while (!m_stopped) {
                auto next = m_events.empty() ? nextGossip : std::min(nextGossip, m_events.begin()->first);
                if (m_wake.wait_until(guard, next, [this] { return m_stopped; }))
                    return;
                auto now = SteadyClock::now();
                while (!m_events.empty() && m_events.begin()->first <= now) {
                    m_events.begin()->second();
                    m_events.erase(m_events.begin());
                }
                if (now < nextGossip)
                    continue;
                m_fleet.publishMembers();
                nextGossip = now + gossipInterval;
            }
        }

        Fleet& m_fleet;
        const SteadyClock::time_point m_startAt;
        std::multimap<SteadyClock::time_point, std::function<void()>> m_events;
        std::mutex m_lock;
        std::condition_variable m_wake;
        bool m_stopped = false;
        std::thread m_thread;
    };

    constexpr std::array<const char*, 3> classes { "hazard", "interactive", "summary" };

    // 10% of the calls are of class hazard, 60% interactive and 30% summary.
    PlannedCall planCall(size_t index, Base::RandomSource& random)
    {
        auto draw = random.nextBelow(10);
        PlannedCall call;
        call.group = draw == 0 ? Hazard : draw < 7 ? Interactive
                                                   : Summary;
        call.endpoint = random.nextBelow(dataCentreCount);
        call.request.method = "POST";
        call.request.target = "/assistant";
        call.request.headers = { { "X-Sequence", std::to_string(index) }, { "X-Priority", classes[call.group] }, { "X-Organisation", "signs-" + std::to_string(index % 10) } };
        call.request.body = "sign " + std::to_string(index);
        return call;
    }

    bool isNotRun(const CallResult& result)
    {
        return result.status != 200 && result.error.find("\"outcome\":\"not_run\"") != std::string::npos;
    }

    // The code of an error in the body, or the text of a connection's error.
    std::string errorCode(const CallResult& result)
    {
        auto json = nlohmann::json::parse(result.error, nullptr, false);
        if (!json.is_object() || !json.contains("error"))
            return result.error;
        return json["error"].value("code", "");
    }

    void countCalls(const std::vector<CallResult>& results, ZoneLeaveResult& summary)
    {
        summary.calls = results.size();
        for (auto& result : results) {
            if (result.status == 200)
                continue;
            ++summary.errors[std::string(classes.at(result.group)) + " " + errorCode(result)];
            if (!isNotRun(result))
                ++summary.lostOrCut;
            else
                ++(result.group == Hazard ? summary.refusedHazard : result.group == Interactive ? summary.refusedInteractive
                                                                                                : summary.refusedSummary);
        }
    }

    nlohmann::ordered_json toJson(const ZoneLeaveResult& result)
    {
        return {
            { "calls", result.calls },
            { "lostOrCut", result.lostOrCut },
            { "refusedHazard", result.refusedHazard },
            { "refusedInteractive", result.refusedInteractive },
            { "refusedSummary", result.refusedSummary },
            { "errors", result.errors },
            { "doubled", result.doubled },
            { "hazardP95UndisturbedMs", result.hazardP95UndisturbedMs },
            { "hazardP95DisturbedMs", result.hazardP95DisturbedMs },
            { "hazardP95Ratio", result.hazardP95DisturbedMs / result.hazardP95UndisturbedMs },
            { "hazardP95OutMs", result.hazardP95OutMs },
            { "hazardP95ReturnMs", result.hazardP95ReturnMs },
            { "interactiveP95UndisturbedMs", result.interactiveP95UndisturbedMs },
            { "interactiveP95DisturbedMs", result.interactiveP95DisturbedMs },
            { "newWorkEndsAfterMs", result.newWorkEndsAfterMs },
            { "permitsWhileOut", result.permitsWhileOut },
            { "permitsAfterReturn", result.permitsAfterReturn },
        };
    }

} // namespace

std::string toText(const ZoneLeaveResult& result)
{
    return toJson(result).dump();
}

ZoneLeaveResult runZoneLeave(const ZoneLeaveOptions& options, bool roundRobin)
{
    Fleet fleet(options, roundRobin);
    LoadGenerator generator(fleet.endpoints());
    Base::SeededRandom random(static_cast<uint64_t>(options.seed));
    SteadyClock::duration leaveAt = std::chrono::seconds(options.undisturbedSeconds);
    SteadyClock::duration returnAt = leaveAt + std::chrono::seconds(options.outSeconds);
    SteadyClock::duration endAt = returnAt + std::chrono::seconds(options.returnSeconds);
    auto startAt = SteadyClock::now();
    uint64_t permitsAfterLeave = 0;
    uint64_t permitsAtReturn = 0;
    SteadyClock::time_point lastPermit;

    ZoneLeaveResult result;
    std::vector<CallResult> results;
    {
        EventSchedule schedule(fleet, startAt);
        for (size_t i = 0; i < dataCentreCount; ++i) {
            schedule.add(leaveAt + routerDelays[i], [&fleet, i] { fleet.publishToRouter(i, true); });
            schedule.add(returnAt + routerDelays[i], [&fleet, i] { fleet.publishToRouter(i, false); });
        }
        schedule.add(leaveAt + agentDelay, [&] { fleet.setLeavingAgentsOut(true); });
        schedule.add(leaveAt + routerDelays.back() + 1ms, [&] { permitsAfterLeave = fleet.permitsOfLeavingAgents(); });
        schedule.add(returnAt, [&] {
            permitsAtReturn = fleet.permitsOfLeavingAgents();
            lastPermit = fleet.lastPermitOfLeavingAgents();
            fleet.setLeavingAgentsOut(false);
        });
        auto warmAt = returnAt;
        for (unsigned limit = coldLimit * 2; limit <= fullLimit; limit *= 2) {
            warmAt += warmWindow;
            schedule.add(warmAt, [&fleet, limit] { fleet.setLeavingAgentsLimit(limit); });
        }
        schedule.start();
        double capacity = dataCentreCount * agentsPerDataCentre * fullLimit / std::chrono::duration<double>(serviceTime).count();
        results = generator.runPaced(capacity * options.loadPercent / 100, std::chrono::duration_cast<std::chrono::milliseconds>(endAt), [&](size_t index) { return planCall(index, random); });
    }
    countCalls(results, result);
    result.doubled = fleet.countExecutedTwice();
    result.permitsWhileOut = permitsAtReturn - permitsAfterLeave;
    result.permitsAfterReturn = fleet.permitsOfLeavingAgents() - permitsAtReturn;
    result.newWorkEndsAfterMs = std::chrono::duration<double, std::milli>(lastPermit - (startAt + leaveAt)).count();
    auto within = [](Group group, SteadyClock::duration from, SteadyClock::duration to) {
        return [=](const CallResult& call) { return call.group == group && call.startedAt >= from && call.startedAt < to; };
    };
    // The first second, in which connections are opened, is excluded.
    result.hazardP95UndisturbedMs = percentile(results, 0.95, within(Hazard, 1s, leaveAt));
    result.hazardP95DisturbedMs = percentile(results, 0.95, within(Hazard, leaveAt, returnAt + settleTime));
    result.hazardP95OutMs = percentile(results, 0.95, within(Hazard, leaveAt, returnAt));
    result.hazardP95ReturnMs = percentile(results, 0.95, within(Hazard, returnAt, returnAt + settleTime));
    result.interactiveP95UndisturbedMs = percentile(results, 0.95, within(Interactive, 1s, leaveAt));
    result.interactiveP95DisturbedMs = percentile(results, 0.95, within(Interactive, leaveAt, returnAt + settleTime));
    return result;
}

CommandLine::ExitCode ZoneLeaveBench::run(const std::vector<std::string>& arguments)
{
    ZoneLeaveOptions options;
    if (auto code = parseOptions(*this, arguments, { { "undisturbed-seconds", &options.undisturbedSeconds, "seconds before the data centre leaves" }, { "out-seconds", &options.outSeconds, "seconds for which it is out" }, { "return-seconds", &options.returnSeconds, "seconds after its return" }, { "load-percent", &options.loadPercent, "offered load as a percentage of the capacity" }, { "seed", &options.seed, "seed of the load generator, agents and routers" } }))
        return *code;
    nlohmann::ordered_json report;
    report["benchmark"] = "zone-leave";
    report["seed"] = options.seed;
    report["loadPercent"] = options.loadPercent;
    report["twoChoices"] = toJson(runZoneLeave(options, false));
    report["roundRobinBaseline"] = toJson(runZoneLeave(options, true));
    std::cout << report.dump(2) << '\n';
    return CommandLine::ExitCode::Success;
}

} // namespace Lavenderloft::Bench
