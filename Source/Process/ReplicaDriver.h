#pragma once

#include "Placement/AssignmentCache.h"
#include "Placement/EngineClient.h"
#include "Placement/Queries/NextAdapterOrder.h"
#include "Placement/Queries/NextOrder.h"
#include "Placement/ReplicaRecord.h"
#include "Process/AgentSituation.h"
#include "Process/ControlView.h"
#include "Process/TargetContext.h"
#include "Weights/WeightProvider.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Lavenderloft::Process {

// Carries out the steps that bring the engine to its desired weights, on a thread of its own, because an
// upload must not delay the polls of the engine.
class ReplicaDriver {
public:
    struct Parts {
        ControlView& control;
        Weights::WeightProvider& weights;
        Placement::EngineClient& engine;
        AgentSituation& situation;
        TargetContext& target;
        const Base::Clock& clock;
        std::string vm;
    };

    explicit ReplicaDriver(Parts);
    ~ReplicaDriver();

    void start();
    void stop();

    // Looks for the next step; called after a poll of the engine and after a change of document or members.
    void wake();

    // Takes over the engine's state; nothing when it does not answer. Returns what it serves.
    Placement::Queries::ServedWeights observeEngine(const std::optional<Placement::EngineStatus>&);

    // Drops what is under way, after a pause of the process.
    void dropOrders();

    // Publishes load and replicas.
    void publish();

private:
    using Order = Placement::Queries::Order;
    using Observation = Placement::Queries::Observation;
    using AdapterOrder = Placement::Queries::AdapterOrder;
    using AdapterObservation = Placement::Queries::AdapterObservation;
    using EngineResult = Base::Result<Base::Done, Placement::EngineError>;

    void run();
    bool isStopping();
    // Whether the process knows enough to give orders.
    bool mayAct() const;
    // Takes one step; false if there is nothing to do.
    bool step();
    Observation observe();
    void observeDesired(Observation&);
    void want(std::vector<Weights::WantedManifest>);
    // Whether the order goes to the engine.
    static bool isForEngine(const Order&);
    EngineResult send(const Order&, const std::string& manifest, uint64_t fence);
    EngineResult sendManifest(const std::string& digest, uint64_t fence);
    EngineResult sendChunk(const std::string& digest, unsigned index, uint64_t fence);
    // Sends an order without the lock. Nothing if it was not sent, or if orders were dropped meanwhile.
    template <typename Send>
    std::optional<EngineResult> sendUnlocked(std::unique_lock<std::mutex>&, const Placement::EngineStatus&, Send&&);
    void carryOut(std::unique_lock<std::mutex>&, const Order&, const Observation&);

    // Takes one step for an adapter while there is none for the base model; false if there is nothing to do.
    bool stepAdapter(std::unique_lock<std::mutex>&, const Observation&);
    AdapterObservation observeAdapters(const Observation&) const;
    static bool isForEngine(const AdapterOrder&);
    EngineResult send(const AdapterOrder&, uint64_t fence);
    void carryOut(std::unique_lock<std::mutex>&, const AdapterOrder&, const AdapterObservation&);
    void updateSituation();

    Parts m_parts;
    // Guards the two flags alone: wake() may come from a thread that holds locks of the control plane.
    std::mutex m_wakeLock;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isAwake = true;

    std::mutex m_lock;
    // Grows when orders are dropped, so that the result of one under way is ignored.
    uint64_t m_generation = 0;
    Placement::ReplicaRecord m_record;
    std::optional<Placement::EngineStatus> m_engine;
    std::vector<Weights::WantedManifest> m_wantedManifests;
    Placement::AssignmentCache m_assignments;
    std::thread m_thread;
};

} // namespace Lavenderloft::Process
