#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>

namespace Lavenderloft::Admission {

struct LimitSettings {
    // Requests at a time just after a cold start, and when warm. Equal limits switch slow start off.
    unsigned coldLimit = 1;
    unsigned fullLimit = 1;
    // The limit may double after each such window.
    std::chrono::milliseconds warmWindow { 1000 };

    bool operator==(const LimitSettings&) const = default;
};

// What the limit depends on of the engine's state.
struct EngineCondition {
    // Whether the engine answered the last poll; the incarnation and digest are those of the last answer.
    bool isReachable = false;
    uint64_t incarnation = 0;
    std::string digest;
    // Whether the engine can run requests at all.
    bool isUsable = false;
    // Whether the engine reports that it is warm.
    bool isWarm = false;

    bool operator==(const EngineCondition&) const = default;
};

// Slow start of one target.
class LimitState {
public:
    struct Data {
        LimitSettings settings;
        EngineCondition engine;
        // Time of the engine's last answer.
        Base::TimePoint engineSeenAt;
        // Whether a request gave reason to ask the engine before more are sent.
        bool isSuspect = false;
        unsigned limit = 0;
        Base::TimePoint windowStart;
        unsigned completedInWindow = 0;
        Base::Duration serviceTimeInWindow {};
        // Mean service time at the full limit; zero until it is known.
        Base::Duration warmAverage {};
    };

    // Calls the function with the data, locked.
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
