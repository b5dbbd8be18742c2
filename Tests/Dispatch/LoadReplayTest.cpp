#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/DispatchFixture.h"

#include <criterion/criterion.h>
#include <map>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// Requests of one kind that arrive at a constant rate.
struct Arrivals {
    std::string name;
    int priority = 0;
    double perSecond = 0;
    std::chrono::milliseconds targetLatency { 400 };
    // How long a request holds its slot.
    std::chrono::milliseconds duration { 500 };
    std::chrono::milliseconds from { 0 };
    std::chrono::milliseconds until { 0 };
    std::string organisation {};
};

struct Served {
    unsigned arrived = 0;
    unsigned served = 0;

    double share() const { return arrived > 0 ? static_cast<double>(served) / arrived : 1; }
};

// Replays arrivals at a service with one plain target on a manual clock.
class LoadReplay {
public:
    explicit LoadReplay(unsigned slots)
    {
        m_dispatch.fleet.publish("t/1", targetOf("1", "s", "dc-a", slots));
    }

    // Returns what was served by name of the arrivals.
    std::map<std::string, Served> run(const std::vector<Arrivals>& load, std::chrono::milliseconds length)
    {
        constexpr auto step = 10ms;
        std::vector<double> due(load.size());
        for (auto elapsed = 0ms; elapsed < length; elapsed += step) {
            endRequests();
            for (size_t i = 0; i < load.size(); ++i) {
                if (elapsed < load[i].from || elapsed >= load[i].until)
                    continue;
                due[i] += load[i].perSecond * std::chrono::duration<double>(step).count();
                for (; due[i] >= 1; due[i] -= 1)
                    arrive(load[i]);
            }
            m_dispatch.fleet.clock.advance(step);
            endWaits();
        }
        return m_served;
    }

private:
    struct Waiting {
        const Arrivals* kind = nullptr;
        RequestTraits traits;
        std::shared_ptr<RecordingObserver> observer;
        Base::TimePoint until {};
    };

    Base::TimePoint now() const { return m_dispatch.fleet.clock.now(); }

    void arrive(const Arrivals& kind)
    {
        ++m_served[kind.name].arrived;
        auto traits = m_dispatch.request("s", kind.priority);
        auto route = std::make_shared<Fleet::Route>(*traits.route);
        route->targetLatency = kind.targetLatency;
        traits.route = route;
        traits.organisation = kind.organisation;
        auto observer = std::make_shared<RecordingObserver>();
        auto decision = m_dispatch.acquire(traits, observer);
        if (auto* lease = std::get_if<Lease>(&decision))
            start(kind, *lease);
        else if (auto* queued = std::get_if<Queued>(&decision))
            m_waiting.push_back({ &kind, traits, observer, queued->until });
        collectOutcomes();
    }

    // The response begins at once.
    void start(const Arrivals& kind, const Lease& lease)
    {
        ++m_served[kind.name].served;
        Commands::recordFirstPart(*m_dispatch.state, "s", "1", lease.assignedAt, lease.assignedAt, now());
        m_running.insert({ now() + kind.duration, 0 });
    }

    void endRequests()
    {
        while (!m_running.empty() && m_running.begin()->first <= now()) {
            m_running.erase(m_running.begin());
            m_dispatch.release("s", "1");
            collectOutcomes();
        }
    }

    void endWaits()
    {
        collectOutcomes();
        for (auto& waiting : m_waiting) {
            if (!waiting.observer->outcome && waiting.until <= now())
                Commands::cancelWait(*m_dispatch.state, waiting.traits, waiting.observer.get(), now());
        }
        std::erase_if(m_waiting, [&](auto& waiting) { return waiting.until <= now(); });
    }

    void collectOutcomes()
    {
        std::erase_if(m_waiting, [&](auto& waiting) {
            auto& outcome = waiting.observer->outcome;
            if (auto* lease = outcome ? std::get_if<Lease>(&*outcome) : nullptr)
                start(*waiting.kind, *lease);
            return outcome.has_value();
        });
    }

    TestDispatch m_dispatch;
    std::multimap<Base::TimePoint, int> m_running;
    std::vector<Waiting> m_waiting;
    std::map<std::string, Served> m_served;
};

} // namespace

// A burst of the least urgent kind takes all slots, and a burst of the most urgent kind comes inside it. The most urgent kind
// was refused because less urgent requests waited.
Test(LoadReplay, aBurstOfUrgentRequestsInsideOneOfTheLeastUrgent)
{
    LoadReplay replay(20);
    auto served = replay.run(
        {
            { "digest", 2, 14, 1000ms, 1000ms, 0ms, 14s },
            { "question", 0, 20, 400ms, 600ms, 0ms, 14s },
            { "note", 1, 20, 400ms, 500ms, 0ms, 14s },
            { "digest", 2, 22, 1000ms, 1000ms, 3s, 10s },
            { "question", 0, 16, 400ms, 600ms, 7s, 11s },
        },
        14s);
    cr_expect_geq(served["question"].share(), 0.97, "most urgent: %f", served["question"].share());
    cr_expect_geq(served["note"].share(), 0.9, "less urgent: %f", served["note"].share());
    cr_expect_leq(served["digest"].share(), served["note"].share());
    cr_expect_geq(served["digest"].share(), 0.25, "least urgent: %f", served["digest"].share());
}

// One organisation sends eight times its usual load. The others of its urgency lost their share to it.
Test(LoadReplay, anOrganisationAtEightTimesItsLoad)
{
    LoadReplay replay(20);
    std::vector<Arrivals> load;
    for (auto organisation : { "a", "b", "c", "d" })
        load.push_back({ organisation, 1, 15, 400ms, 500ms, 0ms, 12s, organisation });
    load.push_back({ "a", 1, 105, 400ms, 500ms, 3s, 10s, "a" });
    auto served = replay.run(load, 12s);
    for (auto organisation : { "b", "c", "d" })
        cr_expect_geq(served[organisation].share(), 0.9, "%s: %f", organisation, served[organisation].share());
    cr_expect_geq(served["a"].share(), 0.2);
}

// Urgent requests alone exceed the capacity. The least urgent kind must keep a floor of service.
Test(LoadReplay, theLeastUrgentKindIsNotStarved)
{
    LoadReplay replay(20);
    auto served = replay.run({ { "question", 0, 160, 400ms, 500ms, 0ms, 10s }, { "digest", 2, 10, 1000ms, 500ms, 0ms, 10s } }, 10s);
    cr_expect_geq(served["digest"].share(), 0.25, "%f", served["digest"].share());
    cr_expect_geq(served["question"].share(), 0.4, "%f", served["question"].share());
}
