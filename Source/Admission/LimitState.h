#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace Lavenderloft::Admission {

struct LimitSettings {
    // Maximum number of concurrent requests after a cold start and when warm. Equal limits disable slow start.
    unsigned coldLimit = 1;
    unsigned fullLimit = 1;
    // Interval after which the limit may double.
    std::chrono::milliseconds warmWindow { 1000 };

    bool operator==(const LimitSettings&) const = default;
};

// The part of the engine's state that determines the limit.
struct EngineCondition {
    // Whether the engine responded to the last poll. The incarnation and digest are those of the last response.
    bool isReachable = false;
    uint64_t incarnation = 0;
    std::string digest;
    // Whether the engine can run requests.
    bool isUsable = false;
    // Whether the engine reports that it is warm.
    bool isWarm = false;

    bool operator==(const EngineCondition&) const = default;
};

// Slow start state of a target.
class LimitState {
public:
    struct Data {
        LimitSettings settings;
        EngineCondition engine;
        // Time of the engine's last response to a poll.
        Base::TimePoint engineSeenAt;
        // Whether a request failed in a way that requires another poll before more requests are sent.
        bool isSuspect = false;
        unsigned limit = 0;
        Base::TimePoint windowStart;
        unsigned completedInWindow = 0;
        Base::Duration serviceTimeInWindow {};
        // Moving average of the service time at the full limit; zero if unknown.
        Base::Duration warmAverage {};
    };

    // Calls the function with the data under the lock.
    template <typename Function>
    auto withData(Function&& function)
    {
        std::lock_guard guard(m_lock);
        return std::forward<Function>(function)(m_data);
    }

    Data data() const
    {
        std::lock_guard guard(m_lock);
        return m_data;
    }

private:
    mutable std::mutex m_lock;
    Data m_data;
};

} // namespace Lavenderloft::Admission
