#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Observability/Event.h"

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Observability {

// Limits the rate of log lines with a token bucket per event, so that the many lines of successful requests do not
// suppress those of failed requests.
class LogRateLimiter {
public:
    // Lines per second and per burst, for each event.
    static constexpr double informationRate = 40;
    static constexpr double informationBurst = 80;
    static constexpr double warningRate = 80;
    static constexpr double warningBurst = 160;

    // Whether a line of the event may be written now; counts the line as suppressed otherwise.
    bool admit(const Event&, Base::TimePoint now);

    // The number of lines suppressed since the last call.
    uint64_t takeSuppressedLines() { return m_suppressedLines.exchange(0); }

private:
    struct Bucket {
        double tokens = 0;
        Base::TimePoint refilledAt {};
    };

    Base::ShardedMap<int, Bucket> m_buckets;
    std::atomic<uint64_t> m_suppressedLines { 0 };
};

} // namespace Lavenderloft::Observability
