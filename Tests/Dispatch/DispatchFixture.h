#pragma once

#include "Base/SeededRandom.h"
#include "Dispatch/BoundedWaitPolicy.h"
#include "Dispatch/Commands/AcquireTarget.h"
#include "Dispatch/Commands/RecordOutcome.h"
#include "Dispatch/PowerOfTwoChoicesPolicy.h"
#include "Fleet/FleetFixture.h"

#include <optional>

namespace Lavenderloft::Dispatch {

using Fleet::configurationOf;
using Fleet::targetOf;

// Records the outcome of a wait.
class RecordingObserver final : public WaitObserver {
public:
    std::optional<std::variant<Lease, Refusal>> outcome;

    void waitEnded(std::variant<Lease, Refusal> ended) override { outcome = std::move(ended); }
};

inline Fleet::Service plainService(const std::string& name)
{
    Fleet::Service service;
    service.name = name;
    return service;
}

inline Fleet::Service engineService(const std::string& name)
{
    auto service = plainService(name);
    service.weights = Fleet::WeightLayout { 4, 16, { "m" } };
    return service;
}

inline Fleet::TargetPublished engineOf(const std::string& id, const std::string& service, uint64_t version, unsigned slots = 4)
{
    auto target = targetOf(id, service, "dc-a", slots);
    if (version > 0)
        target.entry.layers = Fleet::HeldLayers { 0, 16, version };
    return target;
}

// Dispatch state of a router on a manual clock, in data centre dc-a of region r-a.
struct TestDispatch {
    Fleet::TestFleetState fleet;
    std::unique_ptr<DispatchState> state;

    TestDispatch()
    {
        Fleet::NodeSettings settings;
        settings.dataCentre = "dc-a";
        settings.region = "r-a";
        settings.regionByDataCentre = { { "dc-a", "r-a" }, { "dc-b", "r-b" } };
        state = std::make_unique<DispatchState>(fleet.state, settings, std::make_unique<PowerOfTwoChoicesPolicy>(), std::make_unique<BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(1));
        fleet.clock.advance(std::chrono::hours(1));
    }

    RequestTraits request(const std::string& service, int priority = 0)
    {
        auto route = std::make_shared<Fleet::Route>();
        route->targetLatency = std::chrono::milliseconds(400);
        RequestTraits traits;
        traits.route = route;
        traits.service = service;
        traits.priority = priority;
        traits.arrivedAt = fleet.clock.now();
        traits.deadline = fleet.clock.now() + std::chrono::seconds(6);
        return traits;
    }

    Decision acquire(const RequestTraits& traits, std::shared_ptr<WaitObserver> observer = std::make_shared<RecordingObserver>())
    {
        return Commands::acquireTarget(*state, traits, std::move(observer), fleet.clock.now());
    }

    Decision acquire(const std::string& service) { return acquire(request(service)); }

    void release(const std::string& service, const std::string& target, Commands::AttemptResult result = Commands::AttemptResult::Served)
    {
        Commands::releaseTarget(*state, service, target, result, fleet.clock.now());
    }

    void report(const std::string& service, const std::string& target, TargetReport report)
    {
        Commands::recordReport(*state, service, target, report, fleet.clock.now());
    }
};

inline bool isLease(const Decision& decision) { return std::holds_alternative<Lease>(decision); }

inline std::optional<RefusalReason> refusalOf(const Decision& decision)
{
    auto* refusal = std::get_if<Refusal>(&decision);
    return refusal ? std::optional(refusal->reason) : std::nullopt;
}

} // namespace Lavenderloft::Dispatch
