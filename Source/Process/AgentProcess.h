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

// Settings and dependencies of an AgentProcess. Referenced objects must outlive it.
struct AgentDependencies {
    Settings::ProcessSettings settings;
    ControlView& control;
    Weights::WeightProvider& weights;
    const Base::Clock& clock;
    Base::RandomSource& random;
    Observability::Metrics& metrics;
    // Additional gRPC services of the inner port, for instance ControlService and WeightService.
    std::vector<grpc::Service*> services;
    Transport::SharedCredentials credentials;
    // Null for a plain service.
    std::unique_ptr<Placement::EngineClient> engine;
    // May be null.
    Admission::CrashObserver* crashObserver = nullptr;
};

// The process beside a target: serves the inner and admin ports, polls the engine and manages its replica.
class AgentProcess {
public:
    // Throws std::runtime_error that names the address if a port cannot be bound.
    explicit AgentProcess(AgentDependencies);
    ~AgentProcess();

    // Serves until a stop is requested by requestStop(), SIGTERM or SIGINT and all running requests have ended.
    void run();

    // Begins a graceful shutdown: grants no more permits, waits for running requests, then ends run(). Thread-safe.
    void requestStop();

    // Makes run() return immediately and aborts running requests. Thread-safe.
    void abort();

    uint16_t innerPort() const;
    uint16_t adminPort() const;

    // Admission state of the target, for status and tests.
    const Admission::TargetState& targetState() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Lavenderloft::Process
