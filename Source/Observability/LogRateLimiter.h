#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Observability/Event.h"

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Observability {

// Bounds the lines that a process logs. Each kind of event has a rate of its own, so that the many lines of
// served requests do not displace those of failed ones.
class LogRateLimiter {
public:
    // Lines a second and at once, for each kind of event.
    static constexpr double informationRate = 40;
    static constexpr double informationBurst = 80;
    static constexpr double warningRate = 80;
    static constexpr double warningBurst = 160;

    // Whether a line of the event may be written now; counts it as left out otherwise.
    bool admit(const Event&, Base::TimePoint now);

    // Lines left out since the last call.
    uint64_t takeSuppressedLines() { return m_leftOut.exchange(0); }

private:
    struct Allowance {
        double tokens = 0;
        Base::TimePoint refilledAt {};
    };

    Base::ShardedMap<int, Allowance> m_allowances;
    std::atomic<uint64_t> m_leftOut { 0 };
};

} // namespace Lavenderloft::Observability
