#pragma once

#include "Base/Result.h"
#include "Process/AgentProcess.h"

#include <optional>

namespace Lavenderloft::Process {

enum class AgentErrorKind {
    // A required dependency was not set.
    MissingDependency,
    // A port cannot be bound, or an address is malformed.
    Address,
    // The certificates named in the settings are not usable.
    Credentials,
};

using AgentError = Base::Error<AgentErrorKind>;

// Builds an AgentProcess. Objects passed by reference must outlive it.
class AgentBuilder {
public:
    AgentBuilder& settings(Settings::ProcessSettings);
    AgentBuilder& control(ControlView&);
    AgentBuilder& weights(Weights::WeightProvider&);
    AgentBuilder& clock(const Base::Clock&);
    AgentBuilder& random(Base::RandomSource&);
    AgentBuilder& metrics(Observability::Metrics&);
    // Adds a gRPC service to the inner port, for instance ControlService or WeightService.
    AgentBuilder& service(grpc::Service&);
    AgentBuilder& crashObserver(Admission::CrashObserver&);
    // Credentials of the inner port; by default, created from the settings.
    AgentBuilder& credentials(Transport::SharedCredentials);
    // Replaces the default HTTP client, which connects to target.endpoint.
    AgentBuilder& engine(std::unique_ptr<Placement::EngineClient>);

    Base::Result<std::unique_ptr<AgentProcess>, AgentError> build();

private:
    // Returns the name of the first dependency that is not set, or an empty string.
    std::string missingDependency() const;

    std::optional<Settings::ProcessSettings> m_settings;
    ControlView* m_control = nullptr;
    Weights::WeightProvider* m_weights = nullptr;
    const Base::Clock* m_clock = nullptr;
    Base::RandomSource* m_random = nullptr;
    Observability::Metrics* m_metrics = nullptr;
    std::vector<grpc::Service*> m_services;
    Transport::SharedCredentials m_credentials;
    Admission::CrashObserver* m_crashObserver = nullptr;
    std::unique_ptr<Placement::EngineClient> m_engine;
};

} // namespace Lavenderloft::Process
