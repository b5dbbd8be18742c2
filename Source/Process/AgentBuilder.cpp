#include "Process/AgentBuilder.h"

#include "Http/EngineHttpClient.h"

namespace Lavenderloft::Process {

AgentBuilder& AgentBuilder::settings(Settings::ProcessSettings settings)
{
    m_settings = std::move(settings);
    return *this;
}

AgentBuilder& AgentBuilder::control(ControlView& control)
{
    m_control = &control;
    return *this;
}

AgentBuilder& AgentBuilder::weights(Weights::WeightProvider& weights)
{
    m_weights = &weights;
    return *this;
}

AgentBuilder& AgentBuilder::clock(const Base::Clock& clock)
{
    m_clock = &clock;
    return *this;
}

AgentBuilder& AgentBuilder::random(Base::RandomSource& random)
{
    m_random = &random;
    return *this;
}

AgentBuilder& AgentBuilder::metrics(Observability::Metrics& metrics)
{
    m_metrics = &metrics;
    return *this;
}

AgentBuilder& AgentBuilder::service(grpc::Service& service)
{
    m_services.push_back(&service);
    return *this;
}

AgentBuilder& AgentBuilder::crashObserver(Admission::CrashObserver& observer)
{
    m_crashObserver = &observer;
    return *this;
}

AgentBuilder& AgentBuilder::credentials(Transport::SharedCredentials credentials)
{
    m_credentials = std::move(credentials);
    return *this;
}

AgentBuilder& AgentBuilder::engine(std::unique_ptr<Placement::EngineClient> engine)
{
    m_engine = std::move(engine);
    return *this;
}

std::string AgentBuilder::missingDependency() const
{
    if (!m_settings)
        return "settings";
    if (!m_settings->target)
        return "settings.target";
    if (!m_control)
        return "control";
    if (!m_weights)
        return "weights";
    if (!m_clock)
        return "clock";
    if (!m_random)
        return "random";
    return m_metrics ? "" : "metrics";
}

Base::Result<std::unique_ptr<AgentProcess>, AgentError> AgentBuilder::build()
{
    if (auto missing = missingDependency(); !missing.empty())
        return AgentError { AgentErrorKind::MissingDependency, "AgentBuilder: \"" + missing + "\" is not set", "set it before calling build()" };
    if (m_settings->target->kind == Settings::TargetKind::Model && !m_engine) {
        auto endpoint = Http::parseEndpoint(m_settings->target->endpoint);
        if (!Base::succeeded(endpoint))
            return AgentError { AgentErrorKind::Address, "setting \"target.endpoint\": " + Base::errorOf(endpoint).message, Base::errorOf(endpoint).remedy };
        m_engine = std::make_unique<Http::EngineHttpClient>(Base::valueOf(endpoint));
    }
    if (!m_credentials) {
        auto credentials = Transport::makeCredentials(*m_settings);
        if (!Base::succeeded(credentials))
            return AgentError { AgentErrorKind::Credentials, Base::errorOf(credentials).message, Base::errorOf(credentials).remedy };
        m_credentials = Base::takeValue(std::move(credentials));
    }
    try {
        return std::make_unique<AgentProcess>(AgentDependencies { *m_settings, *m_control, *m_weights, *m_clock, *m_random, *m_metrics, m_services, m_credentials, std::move(m_engine), m_crashObserver });
    } catch (const std::runtime_error& error) {
        return AgentError { AgentErrorKind::Address, error.what(), "use a free IP:port of this VM" };
    }
}

} // namespace Lavenderloft::Process
