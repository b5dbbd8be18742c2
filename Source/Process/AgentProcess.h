#pragma once

#include "Admission/CrashObserver.h"
#include "Admission/TargetState.h"
#include "Base/RandomSource.h"
#include "Observability/Metrics.h"
#include "Placement/EngineClient.h"
#include "Process/ControlView.h"
#include "Settings/ProcessSettings.h"
#include "Transport/Credentials.h"
#include "Weights/WeightProvider.h"

#include <memory>
#include <vector>

namespace grpc { // NOLINT(readability-identifier-naming)
class Service;
}

namespace Lavenderloft::Process {

// What an agent is made of. The references must outlive it.
struct AgentParts {
    Settings::ProcessSettings settings;
    ControlView& control;
    Weights::WeightProvider& weights;
    const Base::Clock& clock;
    Base::RandomSource& random;
    Observability::Metrics& metrics;
    // Further services of the inner port, for instance ControlService and WeightService.
    std::vector<grpc::Service*> services;
    Transport::SharedCredentials credentials;
    // Null for a plain service.
    std::unique_ptr<Placement::EngineClient> engine;
    // May be null.
    Admission::CrashObserver* crashObserver = nullptr;
};

// The process beside a target: serves the inner and the admin port, polls the engine and drives its replica.
class AgentProcess {
public:
    // Throws std::runtime_error with the address if a port cannot be bound.
    explicit AgentProcess(AgentParts);
    ~AgentProcess();

    // Serves until a stop is requested, by the function or by SIGTERM or SIGINT, and all running requests have ended.
    void run();

    // Begins a graceful shutdown: stops grants, waits for running requests, then ends run(). From any thread.
    void requestStop();

    // Ends run() at once and cuts running requests. From any thread.
    void abort();

    uint16_t innerPort() const;
    uint16_t adminPort() const;

    // State of the work at the target, for status and tests.
    const Admission::TargetState& targetState() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Lavenderloft::Process
