#pragma once

#include "Admission/TargetPort.h"
#include "Process/TargetContext.h"

namespace Lavenderloft::Process {

// Opens exchanges of routers with the target and resolves the outcome of their attempts.
class TargetNode final : public Admission::TargetPort {
public:
    explicit TargetNode(std::shared_ptr<TargetContext>);

    std::shared_ptr<Admission::TargetExchange> open(std::shared_ptr<Admission::ResponseWriter>) override;
    Admission::AttemptResolution resolve(const std::string& attemptId, const std::string& permitId, uint64_t agentIncarnation) override;

private:
    std::shared_ptr<TargetContext> m_context;
};

} // namespace Lavenderloft::Process
