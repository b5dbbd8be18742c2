#pragma once

#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/EngineDemand.h"
#include "Fleet/Queries/FindUrgency.h"
#include "Peering/Queries/ListPeers.h"
#include "Staging/Commands/TakeGrantableSlots.h"
#include "Staging/Queries/DistributeGrants.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <vector>

namespace Lavenderloft::Dispatch {

using namespace std::chrono_literals;

inline constexpr unsigned slots = 12;
inline constexpr auto step = 10ms;
inline constexpr auto reportInterval = 100ms;
// Age that a demand may have at the agents.
inline constexpr auto demandInterval = 300ms;
// Time for which an urgent request with a target latency of 400 ms may wait and still be answered in time.
inline constexpr auto urgentWait = 300ms;

// Whether routers report their demand by urgency. Without it slots are shared as by earlier programs.
enum class Rule {
    ByDemandAlone,
    ByUrgency,
};

inline Fleet::ConfigurationPublished configurationWithPriorities()
{
    auto configuration = std::make_shared<Fleet::Configuration>();
    configuration->version = 1;
    configuration->services["e"] = engineService("e");
    for (int priority : { 0, 2 }) {
        auto route = std::make_shared<Fleet::Route>();
        route->priority = priority;
        route->services.push_back({ "e", 1 });
        configuration->routes["h"].push_back(route);
    }
    configuration->urgencies = Fleet::Queries::listUrgencies(*configuration);
    return { configuration };
}

// A queued request of a caller that gives up at the end of the wait.
struct Waiting {
    RequestTraits traits;
    std::shared_ptr<RecordingObserver> observer;
    Base::TimePoint until {};
};

struct Router {
    TestDispatch dispatch;
    Peering::PeerRouter known;
    bool isCutOff = false;
    std::vector<Waiting> urgentWaiting;
};

struct Run {
    size_t router = 0;
    Base::TimePoint endsAt {};
};

struct Engine {
    std::string id;
    std::vector<Run> runs;
    Staging::GrantableSlots grantable;
};

struct Outcome {
    unsigned sent = 0;
    unsigned served = 0;
};

// Routers that share engines through the reports of the engines' agents, on one manual clock.
class Replay {
public:
    Replay(Rule rule, size_t routers, size_t engines, std::chrono::milliseconds duration)
        : m_rule(rule)
        , m_duration(duration)
        , m_routers(routers)
        , m_engines(engines)
    {
        // Requests wait for a fixed part of the target latency.
        constexpr double waitFraction = 0.35;
        auto route = std::make_shared<Fleet::Route>();
        route->targetLatency = std::chrono::ceil<std::chrono::milliseconds>(urgentWait / waitFraction);
        m_urgentRoute = route;
        for (size_t i = 0; i < engines; ++i)
            m_engines[i].id = std::to_string(i);
        for (size_t i = 0; i < routers; ++i) {
            auto& router = m_routers[i];
            router.known.address = std::to_string(i);
            router.known.dataCentre = "dc-a";
            router.dispatch.fleet.publish("c", configurationWithPriorities());
            for (auto& engine : m_engines)
                router.dispatch.fleet.publish("t/" + engine.id, engineOf(engine.id, "e", 1, slots));
            // As many as share the engines of the deployment; the others have no requests now.
            router.dispatch.state->setRouterCount(30);
        }
    }

    // Keeps so many requests waiting at the router.
    void setBacklog(size_t router, size_t waiting) { m_backlog[router] = waiting; }
    void setUrgentRate(size_t router, double perSecond) { m_urgentRate[router] = perSecond; }
    void cutOff(size_t router, bool isCutOff) { m_routers[router].isCutOff = isCutOff; }

    void sendUrgent(size_t router)
    {
        auto observer = std::make_shared<RecordingObserver>();
        auto traits = m_routers[router].dispatch.request("e", 0);
        traits.route = m_urgentRoute;
        auto decision = m_routers[router].dispatch.acquire(traits, observer);
        ++m_urgent[router].sent;
        if (auto* lease = std::get_if<Lease>(&decision)) {
            ++m_urgent[router].served;
            begin(router, *lease);
        } else if (auto* queued = std::get_if<Queued>(&decision)) {
            m_routers[router].urgentWaiting.push_back({ traits, observer, queued->until });
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto elapsed = 0ms; elapsed < time; elapsed += step)
            advance();
    }

    Outcome urgent(size_t router) { return m_urgent[router]; }
    unsigned lessUrgentServed(size_t router) { return m_lessUrgentServed[router]; }
    void resetCounts()
    {
        m_urgent.clear();
        m_lessUrgentServed.clear();
        m_idleSlotSteps = 0;
        m_steps = 0;
    }

    double idleShare() const { return m_idleSlotSteps / static_cast<double>(m_steps * m_engines.size() * slots); }
    size_t mostRunning() const { return m_mostRunning; }

private:
    Base::TimePoint now() { return m_routers.front().dispatch.fleet.clock.now(); }

    void advance()
    {
        for (auto& router : m_routers)
            router.dispatch.fleet.clock.advance(step);
        m_elapsed += step;
        ++m_steps;
        endRuns();
        for (size_t i = 0; i < m_routers.size(); ++i)
            arrive(i);
        collect();
        if (m_elapsed % demandInterval == 0ms)
            reportDemands();
        for (size_t i = 0; i < m_engines.size(); ++i) {
            // Agents do not report at the same moment.
            if ((m_elapsed + step * static_cast<long>(i % 10)) % reportInterval == 0ms)
                report(m_engines[i]);
            m_idleSlotSteps += slots - std::min<size_t>(slots, m_engines[i].runs.size());
            m_mostRunning = std::max(m_mostRunning, m_engines[i].runs.size());
        }
        collect();
    }

    void endRuns()
    {
        for (auto& engine : m_engines) {
            for (size_t i = 0; i < engine.runs.size();) {
                if (engine.runs[i].endsAt > now()) {
                    ++i;
                    continue;
                }
                auto router = engine.runs[i].router;
                engine.runs.erase(engine.runs.begin() + static_cast<std::ptrdiff_t>(i));
                m_routers[router].dispatch.release("e", engine.id);
                collect();
            }
        }
    }

    void arrive(size_t router)
    {
        auto& due = m_urgentDue[router];
        due += m_urgentRate[router] * std::chrono::duration<double>(step).count();
        for (; due >= 1; due -= 1)
            sendUrgent(router);
        auto& waiting = m_lessUrgent[router];
        while (waiting.size() < m_backlog[router]) {
            auto observer = std::make_shared<RecordingObserver>();
            auto traits = m_routers[router].dispatch.request("e", 2);
            // Waits until it is served.
            traits.isInterrupted = true;
            traits.deadline = now() + 1h;
            auto decision = m_routers[router].dispatch.acquire(traits, observer);
            if (auto* lease = std::get_if<Lease>(&decision)) {
                ++m_lessUrgentServed[router];
                begin(router, *lease);
            } else if (std::holds_alternative<Queued>(decision)) {
                waiting.push_back({ traits, observer, Base::TimePoint::max() });
            } else {
                break;
            }
        }
    }

    // Begins the queued requests that were served.
    void collect()
    {
        for (size_t i = 0; i < m_routers.size(); ++i) {
            m_urgent[i].served += collect(i, m_routers[i].urgentWaiting);
            m_lessUrgentServed[i] += collect(i, m_lessUrgent[i]);
        }
    }

    unsigned collect(size_t router, std::vector<Waiting>& waiting)
    {
        unsigned served = 0;
        std::erase_if(waiting, [&](auto& request) {
            if (!request.observer->outcome && request.until <= now()) {
                Commands::cancelWait(*m_routers[router].dispatch.state, request.traits, request.observer.get(), now());
                return true;
            }
            if (!request.observer->outcome)
                return false;
            if (auto* lease = std::get_if<Lease>(&*request.observer->outcome)) {
                begin(router, *lease);
                ++served;
            }
            return true;
        });
        return served;
    }

    void begin(size_t router, const Lease& lease)
    {
        auto& engine = m_engines[std::stoul(lease.target->entry.id)];
        // Durations differ, so that slots become free one after the other.
        auto duration = m_duration * (80 + (m_begun++ * 37) % 41) / 100;
        engine.runs.push_back({ router, now() + duration });
        Commands::recordFirstPart(*m_routers[router].dispatch.state, "e", engine.id, lease.assignedAt, now(), now());
    }

    void reportDemands()
    {
        for (auto& router : m_routers) {
            if (router.isCutOff)
                continue;
            auto& state = *router.dispatch.state;
            router.known.demand = Queries::engineDemand(state, now());
            router.known.demandAt = now();
            router.known.lastSeenAt = now();
            if (m_rule == Rule::ByUrgency)
                router.known.urgencyDemand = Queries::engineDemandByUrgency(state, now());
        }
    }

    void report(Engine& engine)
    {
        auto running = static_cast<unsigned>(engine.runs.size());
        auto free = running < slots ? slots - running : 0;
        auto grantable = Staging::Commands::takeGrantableSlots(engine.grantable, free, std::nullopt, now());
        std::vector<Peering::PeerRouter> known;
        for (auto& router : m_routers)
            known.push_back(router.known);
        Staging::Queries::GrantBasis basis { "dc-a", engine.grantable.meanGranted, { static_cast<unsigned>(slots * m_engines.size()), slots }, now() };
        auto grants = Staging::Queries::distributeGrants(grantable, known, basis, m_random);
        Staging::Commands::recordUrgentNeed(engine.grantable, Staging::Queries::isUrgentUnmet(known, now()), now());
        std::map<std::string, Scheduling::ReuseLimit> limits;
        if (engine.grantable.isUrgentUnmet(now()))
            limits = Staging::Queries::findReuseLimits(known, basis);
        Staging::Commands::recordReuseLimits(engine.grantable, !limits.empty(), true);
        for (auto& router : m_routers) {
            if (router.isCutOff)
                continue;
            TargetReport report { running, 0, 1, false, grants[router.known.address], false, std::nullopt };
            auto limit = limits.find(router.known.address);
            if (limit != limits.end())
                report.reuse = limit->second;
            router.dispatch.report("e", engine.id, report);
        }
        collect();
    }

    const Rule m_rule;
    const std::chrono::milliseconds m_duration;
    std::vector<Router> m_routers;
    std::vector<Engine> m_engines;
    std::shared_ptr<const Fleet::Route> m_urgentRoute;
    Base::SeededRandom m_random { 11 };
    std::chrono::milliseconds m_elapsed { 0 };
    std::map<size_t, size_t> m_backlog;
    std::map<size_t, double> m_urgentRate;
    std::map<size_t, double> m_urgentDue;
    std::map<size_t, std::vector<Waiting>> m_lessUrgent;
    std::map<size_t, Outcome> m_urgent;
    std::map<size_t, unsigned> m_lessUrgentServed;
    size_t m_begun = 0;
    size_t m_steps = 0;
    double m_idleSlotSteps = 0;
    size_t m_mostRunning = 0;
};

inline double servedShare(Outcome outcome)
{
    return static_cast<double>(outcome.served) / std::max(1u, outcome.sent);
}

// Six routers with twenty less urgent requests each, which hold all slots, and urgent requests for 0.46 of the slots, most of
// them at two routers. Returns the share of urgent requests that get a slot.
inline double replayBurst(Rule rule, std::chrono::milliseconds duration)
{
    constexpr size_t routers = 6;
    Replay replay(rule, routers, 4, duration);
    for (size_t i = 0; i < routers; ++i)
        replay.setBacklog(i, 20);
    replay.run(3 * duration);
    replay.resetCounts();
    auto runsPerSecond = 1s / std::chrono::duration<double>(duration);
    for (size_t i = 0; i < routers; ++i)
        replay.setUrgentRate(i, (i < 2 ? 9 : 1) * runsPerSecond);
    replay.run(6000ms);
    Outcome all;
    for (size_t i = 0; i < routers; ++i) {
        all.sent += replay.urgent(i).sent;
        all.served += replay.urgent(i).served;
    }
    cr_log_info("burst: urgent served %.2f, idle %.3f, most running %zu", servedShare(all), replay.idleShare(), replay.mostRunning());
    cr_expect_leq(replay.mostRunning(), slots);
    return servedShare(all);
}

} // namespace Lavenderloft::Dispatch
