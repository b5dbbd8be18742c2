#include "Observability/LogRateLimiter.h"

#include <algorithm>

namespace Lavenderloft::Observability {

bool LogRateLimiter::admit(const Event& event, Base::TimePoint now)
{
    bool isWarning = event.level >= Level::Warning;
    auto rate = isWarning ? warningRate : informationRate;
    auto burst = isWarning ? warningBurst : informationBurst;
    bool admitted = m_buckets.withShard(event.number, [&](auto& entries) {
        auto [entry, isNew] = entries.try_emplace(event.number, Bucket { burst, now });
        auto& bucket = entry->second;
        auto elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
        bucket.tokens = std::min(burst, bucket.tokens + std::max(elapsed, 0.0) * rate);
        bucket.refilledAt = now;
        if (bucket.tokens < 1)
            return false;
        bucket.tokens -= 1;
        return true;
    });
    if (!admitted)
        ++m_suppressedLines;
    return admitted;
}

} // namespace Lavenderloft::Observability
