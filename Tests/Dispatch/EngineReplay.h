#pragma once

#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/DispatchFixture.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// Speed of the fake engines: a token step takes 10 ms and 0.4 ms for each writer, 10 prompt tokens are read in 1 ms.
inline Scheduling::EngineParameters replayParameters()
{
    Scheduling::EngineParameters parameters;
    parameters.step = std::chrono::milliseconds(10);
    parameters.stepPerWriter = std::chrono::microseconds(400);
    parameters.readPerToken = std::chrono::microseconds(100);
    parameters.chunk = 2000;
    parameters.stride = 1;
    parameters.usual = { 470, 30 };
    parameters.delays = { { { "dc-0", "dc-1" }, std::chrono::milliseconds(3) }, { { "dc-0", "dc-2" }, std::chrono::milliseconds(3) }, { { "dc-1", "dc-2" }, std::chrono::milliseconds(3) } };
    return parameters;
}

// An engine that reads prompts one after the other and is slow at times.
struct FakeEngine {
    std::string id;
    size_t dataCentre = 0;
    unsigned running = 0;
    unsigned freeBefore = 0;
    double pace = 1;
    Base::TimePoint readsUntil {};
};

// What callers of a data centre got.
struct ReplayResult {
    unsigned requests = 0;
    // With the first part within the target latency of 400 ms.
    unsigned inTime = 0;

    double share() const { return static_cast<double>(inTime) / std::max(1u, requests); }
};

// Some data centres with a router each and fake engines of 12 slots, whose agents report every 100 ms.
class EngineReplay {
public:
    static constexpr unsigned slots = 12;
    static constexpr std::chrono::milliseconds tick { 5 };
    static constexpr std::chrono::milliseconds targetLatency { 400 };
    static constexpr std::chrono::milliseconds delay { 3 };

    std::vector<FakeEngine> engines;
    // Requests a second of each data centre.
    std::vector<double> demand;
    // Share of requests with a prompt of 2,000 tokens; the others have 300.
    double longShare = 0.1;
    std::vector<ReplayResult> results;

    EngineReplay(const std::vector<unsigned>& engineCounts, std::vector<double> requestsPerSecond, uint64_t seed)
        : demand(std::move(requestsPerSecond))
        , results(demand.size())
        , m_due(demand.size())
        , m_random(seed)
    {
        auto service = engineService("e");
        service.engineModel = Scheduling::EngineModel::create(replayParameters());
        m_fleet.publish("c", Fleet::configurationOf(1, { service }));
        m_route->targetLatency = targetLatency;
        for (size_t dataCentre = 0; dataCentre < engineCounts.size(); ++dataCentre) {
            for (unsigned i = 0; i < engineCounts[dataCentre]; ++i)
                addEngine(dataCentre);
            addRouter(dataCentre);
        }
        m_fleet.clock.advance(std::chrono::hours(1));
    }

    Base::TimePoint now() const { return m_fleet.clock.now(); }

    template <typename ChangePaces>
    void run(std::chrono::milliseconds duration, ChangePaces&& changePaces)
    {
        for (auto elapsed = std::chrono::milliseconds(0); elapsed < duration; elapsed += tick) {
            changePaces(elapsed);
            if (elapsed % std::chrono::milliseconds(100) == std::chrono::milliseconds(0))
                report();
            progress();
            endWaits();
            for (size_t dataCentre = 0; dataCentre < demand.size(); ++dataCentre)
                arrive(dataCentre);
            m_fleet.clock.advance(tick);
        }
    }

    // Lets the requests end that have arrived.
    void finish()
    {
        std::fill(demand.begin(), demand.end(), 0);
        run(std::chrono::seconds(3), [](std::chrono::milliseconds) {});
    }

private:
    struct Running {
        size_t router = 0;
        size_t engine = 0;
        RequestTraits traits;
        Base::TimePoint assignedAt;
        Base::TimePoint firstPartAt;
        Base::TimePoint endsAt;
        bool hasAnswered = false;
    };

    struct Waiting {
        size_t router = 0;
        RequestTraits traits;
        Base::TimePoint until;
        std::shared_ptr<RecordingObserver> observer;
    };

    static std::string dataCentreName(size_t index) { return "dc-" + std::to_string(index); }

    void addEngine(size_t dataCentre)
    {
        FakeEngine engine { std::to_string(engines.size()), dataCentre };
        auto target = engineOf(engine.id, "e", 1, slots);
        target.entry.dataCentre = dataCentreName(dataCentre);
        m_fleet.publish("t/" + engine.id, target);
        m_engineById[engine.id] = engines.size();
        engines.push_back(engine);
    }

    void addRouter(size_t dataCentre)
    {
        Fleet::NodeSettings settings;
        settings.dataCentre = dataCentreName(dataCentre);
        settings.region = "r-" + std::to_string(dataCentre);
        settings.regionByDataCentre = { { "dc-0", "r-0" }, { "dc-1", "r-1" }, { "dc-2", "r-2" } };
        auto router = std::make_unique<DispatchState>(m_fleet.state, settings, std::make_unique<PowerOfTwoChoicesPolicy>(), std::make_unique<BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(dataCentre + 1));
        router->setRouterCount(static_cast<unsigned>(demand.size()));
        m_routers.push_back(std::move(router));
    }

    // Grants the slots that were free twice, three to the engine's own data centre for each one to another.
    void report()
    {
        for (auto& engine : engines) {
            auto free = slots - std::min(slots, engine.running);
            auto grantable = std::min(free, engine.freeBefore);
            engine.freeBefore = free;
            std::vector<unsigned> grants(m_routers.size());
            auto order = m_routers.size() + 2;
            for (unsigned i = 0; i < grantable; ++i) {
                auto place = (m_nextGrant++) % order;
                ++grants[place < m_routers.size() ? place : engine.dataCentre];
            }
            for (size_t router = 0; router < m_routers.size(); ++router) {
                TargetReport report { engine.running, 0, 1, false, grants[router] };
                report.pace = engine.pace;
                Commands::recordReport(*m_routers[router], "e", engine.id, report, now());
            }
        }
    }

    void arrive(size_t dataCentre)
    {
        m_due[dataCentre] += demand[dataCentre] * std::chrono::duration<double>(tick).count();
        for (; m_due[dataCentre] >= 1; m_due[dataCentre] -= 1) {
            RequestTraits traits;
            traits.route = m_route;
            traits.service = "e";
            traits.size = { m_random.nextFraction() < longShare ? 2000u : 300u, 15 + m_random.nextBelow(30) };
            traits.fingerprint = m_random.next();
            traits.arrivedAt = now();
            traits.deadline = now() + std::chrono::seconds(6);
            ++results[dataCentre].requests;
            auto observer = std::make_shared<RecordingObserver>();
            auto decision = Commands::acquireTarget(*m_routers[dataCentre], traits, observer, now());
            if (auto* lease = std::get_if<Lease>(&decision))
                start(dataCentre, traits, *lease);
            if (auto* queued = std::get_if<Queued>(&decision))
                m_waiting.push_back({ dataCentre, traits, queued->until, observer });
        }
    }

    void start(size_t router, const RequestTraits& traits, const Lease& lease)
    {
        auto& engine = engines[m_engineById.at(lease.target->entry.id)];
        auto hop = engine.dataCentre == router ? std::chrono::milliseconds(0) : delay;
        ++engine.running;
        auto paced = [&](std::chrono::duration<double, std::milli> time) { return std::chrono::duration_cast<Base::Duration>(time * engine.pace); };
        auto readsFrom = std::max<Base::TimePoint>(now() + hop, engine.readsUntil);
        engine.readsUntil = readsFrom + paced(std::chrono::duration<double, std::milli>(static_cast<double>(traits.size.promptTokens) / 10));
        auto step = std::chrono::duration<double, std::milli>(10 + 0.4 * engine.running);
        auto first = engine.readsUntil + paced(step);
        m_running.push_back({ router, m_engineById.at(engine.id), traits, lease.assignedAt, first + hop, first + paced(step * static_cast<double>(traits.size.outputTokens)) + hop });
    }

    void progress()
    {
        std::vector<Running> ended;
        for (auto& request : m_running) {
            if (!request.hasAnswered && request.firstPartAt <= now()) {
                request.hasAnswered = true;
                Commands::recordFirstPart(*m_routers[request.router], "e", engines[request.engine].id, request.assignedAt, request.assignedAt, now());
                results[request.router].inTime += now() - request.traits.arrivedAt <= targetLatency;
            }
            if (request.endsAt <= now())
                ended.push_back(request);
        }
        std::erase_if(m_running, [&](auto& request) { return request.endsAt <= now(); });
        for (auto& request : ended) {
            --engines[request.engine].running;
            Commands::releaseTarget(*m_routers[request.router], "e", engines[request.engine].id, Commands::AttemptResult::Served, now());
        }
    }

    void endWaits()
    {
        for (auto& waiting : m_waiting) {
            if (!waiting.observer->outcome && waiting.until <= now())
                Commands::cancelWait(*m_routers[waiting.router], waiting.traits, waiting.observer.get(), now());
            if (auto* lease = waiting.observer->outcome ? std::get_if<Lease>(&*waiting.observer->outcome) : nullptr)
                start(waiting.router, waiting.traits, *lease);
        }
        std::erase_if(m_waiting, [&](auto& waiting) { return waiting.observer->outcome || waiting.until <= now(); });
    }

    Fleet::TestFleetState m_fleet;
    std::shared_ptr<Fleet::Route> m_route = std::make_shared<Fleet::Route>();
    std::vector<std::unique_ptr<DispatchState>> m_routers;
    std::map<std::string, size_t> m_engineById;
    std::vector<double> m_due;
    std::vector<Running> m_running;
    std::vector<Waiting> m_waiting;
    size_t m_nextGrant = 0;
    Base::SeededRandom m_random;
};

} // namespace Lavenderloft::Dispatch
