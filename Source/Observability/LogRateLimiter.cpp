#include "Observability/LogRateLimiter.h"

#include <algorithm>

namespace Lavenderloft::Observability {

bool LogRateLimiter::admit(const Event& event, Base::TimePoint now)
{
    bool isWarning = event.level >= Level::Warning;
    auto rate = isWarning ? warningRate : informationRate;
    auto burst = isWarning ? warningBurst : informationBurst;
    bool admitted = m_allowances.withShard(event.number, [&](auto& entries) {
        auto [entry, isNew] = entries.try_emplace(event.number, Allowance { burst, now });
        auto& allowance = entry->second;
        auto elapsed = std::chrono::duration<double>(now - allowance.refilledAt).count();
        allowance.tokens = std::min(burst, allowance.tokens + std::max(elapsed, 0.0) * rate);
        allowance.refilledAt = now;
        if (allowance.tokens < 1)
            return false;
        allowance.tokens -= 1;
        return true;
    });
    if (!admitted)
        ++m_leftOut;
    return admitted;
}

} // namespace Lavenderloft::Observability
