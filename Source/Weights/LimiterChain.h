#pragma once

#include "Weights/LinkLimiter.h"

#include <memory>
#include <vector>

namespace Lavenderloft::Weights {

// Combines several limiters; the longest delay applies.
class LimiterChain final : public LinkLimiter {
public:
    explicit LimiterChain(std::vector<std::shared_ptr<LinkLimiter>>);

    Base::Duration startDelay(const std::string& region, Base::TimePoint) const override;
    void accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint) override;
    Base::Duration partDelay(const Receiver&, uint64_t bytes, Base::TimePoint) override;

private:
    std::vector<std::shared_ptr<LinkLimiter>> m_limiters;
};

} // namespace Lavenderloft::Weights
