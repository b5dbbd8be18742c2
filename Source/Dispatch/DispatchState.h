#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Dispatch/AdmissionPolicy.h"
#include "Dispatch/CrashHistory.h"
#include "Dispatch/Decision.h"
#include "Dispatch/LimitSharePolicy.h"
#include "Dispatch/PartEvidence.h"
#include "Dispatch/PlacementPolicy.h"
#include "Dispatch/ResponseTimes.h"
#include "Dispatch/RetryWindow.h"
#include "Dispatch/TargetRuntime.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Scheduling/FairShares.h"
#include "Scheduling/QueueOrder.h"
#include "Scheduling/RatioAverage.h"
#include "Scheduling/StarvationFloor.h"
#include "Scheduling/UrgencyRates.h"
#include "Scheduling/WorkEstimator.h"

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Lavenderloft::Dispatch {

struct WaitingRequest {
    RequestTraits traits;
    // As of its arrival, see Scheduling::QueuedWork.
    double work = 1;
    double startTag = 0;
    Base::TimePoint since {};
    Base::TimePoint until {};
    std::shared_ptr<WaitObserver> observer;
    // The retry budget holds a reservation for it.
    bool hasReservedRetry = false;

    Scheduling::QueuedWork queuedWork() const
    {
        auto queued = traits.queuedWork();
        queued.work = work;
        queued.startTag = startTag;
        return queued;
    }
};

struct ServiceState {
    std::unordered_map<std::string, TargetRuntime> targets;
    // In the order of DispatchState::queueOrder.
    std::list<WaitingRequest> waiting;
    Scheduling::SharesByUrgency shares;
    Scheduling::StarvationFloor floor;
    Scheduling::UrgencyRates urgencyRates;
    // Moving average of the predicted work of arriving requests.
    double meanWork = 0;
    RetryWindow retryWindow;
    ResponseTimes responseTimes;
    // Whether a target may name a limit; spares the search for one.
    bool mayHaveLimits = false;
    // Of observed to predicted times to the first part, over all targets of a service with a model of its engines.
    Scheduling::RatioAverage modelRatio { std::chrono::seconds(5) };
    // The last request that could stay in this data centre went to another one.
    bool isSpilling = false;
    // Moving average.
    double completionsPerSecond = 0;
    Base::TimePoint completionsCountedAt {};
};

// State of the dispatch decisions of a router. Services are sharded, each shard with its own lock. Changed by
// Commands/, read by Queries/.
class DispatchState {
public:
    static constexpr size_t shardCount = 8;

    DispatchState(const Fleet::FleetState&, Fleet::NodeSettings, std::unique_ptr<PlacementPolicy>, std::unique_ptr<AdmissionPolicy>, std::unique_ptr<Base::RandomSource>);

    // Calls the function with the state of the service while its shard is locked.
    template <typename Function>
    auto withService(const std::string& service, Function&& function)
    {
        auto& shard = m_shards[std::hash<std::string> {}(service) % shardCount];
        std::lock_guard guard(shard.lock);
        auto [entry, isNew] = shard.services.try_emplace(service);
        if (isNew)
            entry->second.retryWindow = RetryWindow(m_retryWindow);
        return std::forward<Function>(function)(entry->second);
    }

    // Calls the function with the name and state of each service, locking one shard at a time.
    template <typename Function>
    void forEachService(Function&& function)
    {
        for (auto& shard : m_shards) {
            std::lock_guard guard(shard.lock);
            for (auto& [name, service] : shard.services)
                function(name, service);
        }
    }

    const Fleet::FleetState& fleet() const { return m_fleet; }
    // Data centre and regions of this node, which do not change; for the bounds use bounds().
    const Fleet::NodeSettings& settings() const { return m_settings; }
    Fleet::FleetBounds bounds() const;
    void setBounds(const Fleet::FleetBounds&);
    const PlacementPolicy& placement() const { return *m_placement; }
    const AdmissionPolicy& admission() const { return *m_admission; }
    const Scheduling::QueueOrder& queueOrder() const { return *m_queueOrder; }
    const Scheduling::WorkEstimator& workEstimator() const { return *m_workEstimator; }

    CrashHistory& crashes() { return m_crashes; }
    const CrashHistory& crashes() const { return m_crashes; }

    PartEvidence& parts() { return m_parts; }
    const PartEvidence& parts() const { return m_parts; }

    // Applies the placement policy, which predicts if the service has a model of its engines. The random source has its own
    // lock.
    Placement choose(const std::vector<Candidate>&, const PlacementContext&);

    // Number of routers that share the fleet-wide limits, including this one. Nothing while this router has just started
    // and does not know the others; its share is then zero.
    std::optional<unsigned> routerCount() const
    {
        unsigned count = m_routerCount;
        return count > 0 ? std::optional(count) : std::nullopt;
    }
    void setRouterCount(std::optional<unsigned> count) { m_routerCount = count.value_or(0); }

    // A process that has just started does not know what the one before it has spent of limits that hold over a time.
    void setStartedAt(Base::TimePoint time) { m_startedAt = time; }
    Base::TimePoint startedAt() const { return m_startedAt; }

    // The live routers including this one. Empty while this router has just started and does not know the others; it has no
    // part of the limits of targets then.
    void setRouters(std::vector<RouterPlace>);

    // Increases with each change of the live routers.
    uint64_t routersVersion() const { return m_routersVersion; }

    // This router's part of the limit that the target names, in requests per second.
    double limitShare(const Fleet::TargetEntry&, double requestsPerSecond) const;

private:
    struct Shard {
        std::mutex lock;
        std::unordered_map<std::string, ServiceState> services;
    };

    const Fleet::FleetState& m_fleet;
    Fleet::NodeSettings m_settings;
    // Does not change while the process runs: the windows of the services have begun with it.
    const std::chrono::seconds m_retryWindow;
    mutable std::mutex m_boundsLock;
    std::unique_ptr<PlacementPolicy> m_placement;
    std::unique_ptr<PlacementPolicy> m_predictedPlacement;
    std::unique_ptr<AdmissionPolicy> m_admission;
    std::unique_ptr<Scheduling::QueueOrder> m_queueOrder;
    std::unique_ptr<Scheduling::WorkEstimator> m_workEstimator;
    std::mutex m_randomLock;
    std::unique_ptr<Base::RandomSource> m_random;
    // Zero if unknown.
    std::atomic<unsigned> m_routerCount { 1 };
    // Set before requests are served.
    Base::TimePoint m_startedAt {};
    std::unique_ptr<LimitSharePolicy> m_limitShares;
    mutable std::mutex m_routersLock;
    // Replaced as a whole.
    std::shared_ptr<const std::vector<RouterPlace>> m_routers;
    std::atomic<uint64_t> m_routersVersion { 0 };
    std::array<Shard, shardCount> m_shards;
    CrashHistory m_crashes;
    PartEvidence m_parts;
};

} // namespace Lavenderloft::Dispatch
