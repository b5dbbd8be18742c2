#pragma once

#include "Placement/AssignmentCache.h"
#include "Placement/EngineClient.h"
#include "Placement/Queries/NextAdapterOrder.h"
#include "Placement/Queries/NextOrder.h"
#include "Placement/ReplicaRecord.h"
#include "Process/AgentState.h"
#include "Process/ControlView.h"
#include "Process/TargetContext.h"
#include "Weights/WeightProvider.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Lavenderloft::Process {

// Executes the orders that bring the engine to its desired weights. Runs on its own thread, because an upload must
// not delay the polls of the engine.
class ReplicaDriver {
public:
    struct Dependencies {
        ControlView& control;
        Weights::WeightProvider& weights;
        Placement::EngineClient& engine;
        AgentState& agentState;
        TargetContext& target;
        const Base::Clock& clock;
        std::string vm;
    };

    explicit ReplicaDriver(Dependencies);
    ~ReplicaDriver();

    void start();
    void stop();

    // Schedules the next step. Call after a poll of the engine and after a change of the document or the members.
    void wake();

    // Records the engine's status, or that it is unreachable, and returns the weights that it serves.
    Placement::Queries::ServedWeights observeEngine(const std::optional<Placement::EngineStatus>&);

    // Drops the current orders. Call after a pause of the process.
    void dropOrders();

    // Publishes the load and the replicas.
    void publish();

private:
    using Order = Placement::Queries::Order;
    using Observation = Placement::Queries::Observation;
    using AdapterOrder = Placement::Queries::AdapterOrder;
    using AdapterObservation = Placement::Queries::AdapterObservation;
    using EngineResult = Base::Result<Base::Done, Placement::EngineError>;

    void run();
    bool isStopping();
    // False if the process is leaving, was paused or is not synchronised.
    bool maySendOrders() const;
    // Executes one order; returns false if there is none.
    bool step();
    Observation observe();
    void observeDesired(Observation&);
    void setWanted(std::vector<Weights::WantedManifest>);
    // Whether the order is sent to the engine, as opposed to only recorded.
    static bool isForEngine(const Order&);
    EngineResult send(const Order&, const std::string& manifest, uint64_t fence);
    EngineResult sendManifest(const std::string& digest, uint64_t fence);
    EngineResult sendChunk(const std::string& digest, unsigned index, uint64_t fence);
    // Returns the fencing token of the next order.
    uint64_t takeFence(const Placement::EngineStatus&);
    // Releases the lock while an order is sent. Returns nothing if it was not sent or orders were dropped meanwhile.
    template <typename Send>
    std::optional<EngineResult> sendUnlocked(std::unique_lock<std::mutex>&, Send&&);
    void execute(std::unique_lock<std::mutex>&, const Order&, const Observation&);
    void executeLoad(std::unique_lock<std::mutex>&, const Order&, const Observation&);
    // Sends the manifest of the wanted weights for its fencing token only.
    void executeVoid(std::unique_lock<std::mutex>&, const Order&, const Observation&);
    void recordResult(const Order&, const Observation&, const EngineResult&);

    // Executes one order for an adapter if there is none for the base model; returns false if there is none.
    bool stepAdapter(std::unique_lock<std::mutex>&, const Observation&);
    AdapterObservation observeAdapters(const Observation&) const;
    static bool isForEngine(const AdapterOrder&);
    EngineResult send(const AdapterOrder&, uint64_t fence);
    void execute(std::unique_lock<std::mutex>&, const AdapterOrder&, const AdapterObservation&);
    void updateAgentState();

    Dependencies m_dependencies;
    // Guards only the two flags, because wake() may be called by a thread that holds locks of the control plane.
    std::mutex m_wakeLock;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isWakeRequested = true;

    std::mutex m_lock;
    // Incremented when orders are dropped, so that the result of an order in flight is ignored.
    uint64_t m_generation = 0;
    Placement::ReplicaRecord m_record;
    std::optional<Placement::EngineStatus> m_engine;
    std::vector<Weights::WantedManifest> m_wantedManifests;
    Placement::AssignmentCache m_assignments;
    std::thread m_thread;
};

} // namespace Lavenderloft::Process
