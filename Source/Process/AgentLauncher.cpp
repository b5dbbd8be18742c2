#include "Process/AgentLauncher.h"

#include "Admission/CrashObserver.h"
#include "Process/AgentBuilder.h"
#include "Process/ControlStack.h"
#include "Process/WeightNode.h"

#include <grpcpp/impl/service_type.h>
#include <stdexcept>

namespace Lavenderloft::Process {

namespace {

    // Publishes through the control plane which requests ran when the engine crashed.
    class CrashPublisher final : public Admission::CrashObserver {
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

    std::string hostOf(const std::string& address)
    {
        return address.substr(0, address.rfind(':'));
    }

    // Weights of a plain service: none.
    class NoWeights final : public Weights::WeightProvider {
    public:
        void want(const std::vector<Weights::WantedManifest>&) override { }
        Weights::TransferProgress progress(const std::string&) const override { return {}; }
        std::shared_ptr<const std::string> chunk(const std::string&, unsigned) const override { return nullptr; }
        std::shared_ptr<const std::string> manifestBytes(const std::string&) const override { return nullptr; }
    };

    std::unique_ptr<WeightNode> makeWeightNode(const Settings::ProcessSettings& settings, ControlStack& stack)
    {
        auto node = WeightNodeBuilder(settings, stack.node(), stack.clock()).withMetrics(stack.metrics()).withRandom(stack.random()).withCredentials(stack.credentials()).build();
        if (!Base::succeeded(node))
            throw std::runtime_error(Base::errorOf(node).describe());
        return Base::takeValue(std::move(node));
    }

} // namespace

void runAgent(const Settings::ProcessSettings& settings)
{
    ControlStack stack(settings, Membership::Role::Agent);
    NoWeights noWeights;
    std::unique_ptr<WeightNode> weights;
    if (settings.target && settings.target->kind == Settings::TargetKind::Model)
        weights = makeWeightNode(settings, stack);
    CrashPublisher crashes(stack.node(), settings.vm);

    AgentBuilder builder;
    builder.settings(settings)
        .control(stack.node())
        .clock(stack.clock())
        .random(*stack.random())
        .metrics(*stack.metrics())
        .crashObserver(crashes)
        .credentials(stack.credentials())
        .service(stack.service().service());
    if (weights)
        builder.weights(*weights).service(weights->service());
    else
        builder.weights(noWeights);
    auto built = builder.build();
    if (!Base::succeeded(built))
        throw std::runtime_error(Base::errorOf(built).describe());
    auto agent = Base::takeValue(std::move(built));

    stack.node().start(hostOf(settings.inner) + ':' + std::to_string(agent->innerPort()));
    if (weights)
        weights->start();
    agent->run();
    if (weights)
        weights->stop();
    stack.node().stop();
}

} // namespace Lavenderloft::Process
