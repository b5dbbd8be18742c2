#include "Bench/PermitComparison.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/AdmitRequest.h"
#include "Admission/Commands/RunRequest.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"

#include <algorithm>
#include <deque>
#include <thread>
#include <vector>

namespace Lavenderloft::Bench {

namespace {

    constexpr std::chrono::milliseconds arrivalInterval { 1 };
    constexpr std::chrono::milliseconds serviceTime { 1000 };

    // Ignores notifications: nothing is queued, since the comparison counts running requests only.
    class IgnoringWaiter final : public Admission::Waiter {
    public:
        void granted(const Admission::Permit&) override { }
        void refused(const Admission::Refusal&) override { }
    };

    // Admission state of one agent whose engine serves the pool "assistant".
    struct Agent {
        Agent(unsigned limit, const Base::Clock& clock)
            : state(1, clock)
            , waiter(std::make_shared<IgnoringWaiter>())
        {
            context.document = std::make_shared<DesiredState::Document>();
            context.servedPool = "assistant";
            context.servedDigest = "digest";
            context.isSynchronised = true;
            state.queue.maximumRequests = 0;
            state.permits.occupancy.setByteLimit(1024 * 1024);
            Admission::Commands::configureLimit(state.limit, { limit, limit, std::chrono::milliseconds(1000) });
            Admission::Commands::applyEngineCondition(state, { true, 1, "digest", true, true }, clock);
        }

        // Returns whether the request was granted a permit and started.
        bool start(const Admission::AdmissionRequest& request, const Base::Clock& clock, Base::RandomSource& random)
        {
            auto result = Admission::Commands::admitRequest(state, context, request, waiter, clock, random);
            auto* permit = std::get_if<Admission::Permit>(&result);
            return permit && Base::succeeded(Admission::Commands::startRequest(state, request, permit->id, clock));
        }

        Admission::TargetState state;
        Admission::AdmissionContext context;
        std::shared_ptr<Admission::Waiter> waiter;
    };

    Admission::AdmissionRequest makeRequest(std::string attemptId)
    {
        Admission::AdmissionRequest request;
        request.attemptId = std::move(attemptId);
        request.organisation = "school-1";
        request.pool = "assistant";
        request.repeatable = true;
        request.bodyBytes = 100;
        return request;
    }

    struct RunningRequest {
        unsigned router = 0;
        Base::TimePoint endsAt;
        Admission::AdmissionRequest request;
    };

} // namespace

unsigned peakWithRouterLimits(const PermitScenario& scenario)
{
    Base::ManualClock clock;
    Base::SeededRandom random(scenario.seed);
    auto limitOfRouter = std::max(1u, scenario.coldLimit / scenario.routers);
    std::vector<unsigned> sent(scenario.routers, 0);
    std::deque<RunningRequest> running;
    size_t peak = 0;
    for (unsigned i = 0; i < scenario.requests; ++i) {
        clock.advance(arrivalInterval);
        while (!running.empty() && running.front().endsAt <= clock.now()) {
            --sent[running.front().router];
            running.pop_front();
        }
        auto router = static_cast<unsigned>(random.nextBelow(scenario.routers));
        if (sent[router] >= limitOfRouter)
            continue;
        ++sent[router];
        running.push_back({ router, clock.now() + serviceTime, {} });
        peak = std::max(peak, running.size());
    }
    return static_cast<unsigned>(peak);
}

unsigned peakWithPermits(const PermitScenario& scenario)
{
    Base::ManualClock clock;
    Base::SeededRandom random(scenario.seed);
    Agent agent(scenario.coldLimit, clock);
    std::deque<RunningRequest> running;
    size_t peak = 0;
    for (unsigned i = 0; i < scenario.requests; ++i) {
        clock.advance(arrivalInterval);
        while (!running.empty() && running.front().endsAt <= clock.now()) {
            Admission::Commands::finishRequest(agent.state, running.front().request, { Admission::AttemptState::Complete, true, nullptr }, clock);
            running.pop_front();
        }
        auto request = makeRequest(random.nextIdentifier());
        if (!agent.start(request, clock, random))
            continue;
        running.push_back({ 0, clock.now() + serviceTime, request });
        peak = std::max(peak, running.size());
    }
    return static_cast<unsigned>(peak);
}

std::chrono::nanoseconds permitCost(unsigned threads, unsigned permitsPerThread)
{
    Base::SystemClock clock;
    Agent agent(threads, clock);
    auto work = [&](unsigned thread) {
        Base::SeededRandom random(thread + 1);
        for (unsigned i = 0; i < permitsPerThread; ++i) {
            auto request = makeRequest(std::to_string(thread) + "-" + std::to_string(i));
            agent.start(request, clock, random);
            Admission::Commands::finishRequest(agent.state, request, { Admission::AttemptState::Complete, true, nullptr }, clock);
        }
    };
    auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> workers;
    for (unsigned thread = 0; thread < threads; ++thread)
        workers.emplace_back(work, thread);
    for (auto& worker : workers)
        worker.join();
    return (std::chrono::steady_clock::now() - begin) / (threads * permitsPerThread);
}

} // namespace Lavenderloft::Bench
