#include "Process/AgentComposition.h"

#include "Admission/CrashObserver.h"
#include "Process/AgentBuilder.h"

#include <grpcpp/impl/service_type.h>
#include <stdexcept>

namespace Lavenderloft::Process {

// Publishes the fingerprints of the requests that ran when the engine crashed.
class AgentComposition::CrashPublisher final : public Admission::CrashObserver {
public:
    CrashPublisher(ControlNode& control, std::string target)
        : m_control(control)
        , m_target(std::move(target))
    {
    }

    void engineCrashed(const std::vector<uint64_t>& fingerprints) override
    {
        for (auto fingerprint : fingerprints)
            m_control.addCrashEvidence(fingerprint, m_target);
    }

private:
    ControlNode& m_control;
    const std::string m_target;
};

// Weight provider of a plain service, which has no weights.
class AgentComposition::EmptyWeightProvider final : public Weights::WeightProvider {
public:
    void setWanted(const std::vector<Weights::WantedManifest>&) override { }
    Weights::TransferProgress progress(const std::string&) const override { return {}; }
    std::shared_ptr<const std::string> chunk(const std::string&, unsigned) const override { return nullptr; }
    std::shared_ptr<const std::string> manifestBytes(const std::string&) const override { return nullptr; }
};

namespace {

    std::string hostOf(const std::string& address)
    {
        return address.substr(0, address.rfind(':'));
    }

    std::unique_ptr<WeightNode> makeWeightNode(const Settings::ProcessSettings& settings, ControlStack& stack)
    {
        if (!settings.target || settings.target->kind != Settings::TargetKind::Model)
            return nullptr;
        auto node = WeightNodeBuilder(settings, stack.node(), stack.clock()).withMetrics(stack.metrics()).withCredentials(stack.credentials()).withRandom(stack.random()).build();
        if (!Base::succeeded(node))
            throw std::runtime_error(Base::errorOf(node).describe());
        return Base::takeValue(std::move(node));
    }

} // namespace

AgentComposition::AgentComposition(const Settings::ProcessSettings& settings, ExternalDependencies dependencies)
    : m_settings(settings)
    , m_stack(settings, Membership::Role::Agent, std::move(dependencies))
    , m_emptyWeights(std::make_unique<EmptyWeightProvider>())
    , m_weights(makeWeightNode(settings, m_stack))
    , m_crashes(std::make_unique<CrashPublisher>(m_stack.node(), settings.vm))
    , m_agent(makeAgent())
{
}

AgentComposition::~AgentComposition() = default;

std::unique_ptr<AgentProcess> AgentComposition::makeAgent()
{
    AgentBuilder builder;
    builder.settings(m_settings)
        .control(m_stack.node())
        .clock(m_stack.clock())
        .random(*m_stack.random())
        .metrics(*m_stack.metrics())
        .crashObserver(*m_crashes)
        .credentials(m_stack.credentials())
        .service(m_stack.service().service());
    if (m_weights)
        builder.weights(*m_weights).service(m_weights->service());
    else
        builder.weights(*m_emptyWeights);
    auto built = builder.build();
    if (!Base::succeeded(built))
        throw std::runtime_error(Base::errorOf(built).describe());
    return Base::takeValue(std::move(built));
}

void AgentComposition::run()
{
    m_stack.node().start(hostOf(m_settings.inner) + ':' + std::to_string(m_agent->innerPort()));
    if (m_weights)
        m_weights->start();
    m_agent->run();
    if (m_weights)
        m_weights->stop();
    m_stack.node().stop();
}

void AgentComposition::requestStop()
{
    m_agent->requestStop();
}

void AgentComposition::abort()
{
    m_agent->abort();
}

} // namespace Lavenderloft::Process
