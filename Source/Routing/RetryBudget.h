#pragma once

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Routing {

// Allows one retry for each ten requests, so that failing targets do not multiply the traffic. A burst
// lets single failures be retried when there is little traffic. Changed by Commands/ChargeRetryBudget.
class RetryBudget {
public:
    static constexpr int64_t requestsPerRetry = 10;
    static constexpr int64_t burstRetries = 10;

    // Credit in requests; a retry costs requestsPerRetry of them.
    std::atomic<int64_t>& credit() { return m_credit; }

private:
    std::atomic<int64_t> m_credit { burstRetries * requestsPerRetry };
};

} // namespace Lavenderloft::Routing
