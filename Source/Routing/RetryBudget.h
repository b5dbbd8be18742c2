#pragma once

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Routing {

// Allows one retry per ten requests, so that failing targets do not multiply the traffic. The initial burst
// allows retries when there is little traffic. Modified by Commands/ChargeRetryBudget.
class RetryBudget {
public:
    static constexpr int64_t requestsPerRetry = 10;
    static constexpr int64_t burstRetries = 10;

    // Credit in requests. A retry costs requestsPerRetry.
    std::atomic<int64_t>& credit() { return m_credit; }

private:
    std::atomic<int64_t> m_credit { burstRetries * requestsPerRetry };
};

} // namespace Lavenderloft::Routing
