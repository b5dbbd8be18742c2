#pragma once

#include "Base/Result.h"
#include "Process/AgentProcess.h"

#include <optional>

namespace Lavenderloft::Process {

enum class AgentErrorKind {
    // A part that an agent cannot do without was not given.
    MissingDependency,
    // A port cannot be bound or an address is malformed.
    Address,
    // The settings give no usable certificates.
    Credentials,
};

using AgentError = Base::Error<AgentErrorKind>;

// Collects the parts of an agent. Parts given by reference must outlive the agent.
class AgentBuilder {
public:
    AgentBuilder& settings(Settings::ProcessSettings);
    AgentBuilder& control(ControlView&);
    AgentBuilder& weights(Weights::WeightProvider&);
    AgentBuilder& clock(const Base::Clock&);
    AgentBuilder& random(Base::RandomSource&);
    AgentBuilder& metrics(Observability::Metrics&);
    // A further service of the inner port, for instance ControlService or WeightService.
    AgentBuilder& service(grpc::Service&);
    AgentBuilder& crashObserver(Admission::CrashObserver&);
    // Protection of the inner port; made from the settings by default.
    AgentBuilder& credentials(Transport::SharedCredentials);
    // Replaces the HTTP client to the engine at the endpoint of the settings.
    AgentBuilder& engine(std::unique_ptr<Placement::EngineClient>);

    Base::Result<std::unique_ptr<AgentProcess>, AgentError> build();

private:
    // Name of the first part that is missing, or an empty text.
    std::string missingPart() const;

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
