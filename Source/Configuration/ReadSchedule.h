#pragma once

#include "Base/Clock.h"

#include <mutex>
#include <optional>

namespace Lavenderloft::Configuration {

// What a process remembers of its calls to the configuration service.
struct ReadState {
    // Start of the process, or end of its last pause.
    Base::TimePoint startedAt {};
    // Peers asked for their document at the start, and how many answered.
    size_t peersAsked = 0;
    size_t peersAnswered = 0;
    // When the last of them answered.
    std::optional<Base::TimePoint> peersDoneAt;
    // When the service last answered, here or at a peer that holds the same document.
    std::optional<Base::TimePoint> confirmedAt;
    // When the last call began.
    std::optional<Base::TimePoint> lastCallAt;
    bool isCalling = false;
    // Calls in a row that brought no new document.
    unsigned fruitlessCalls = 0;
    // Place of the next call within its spread, from 0 up to, and without, 1.
    double jitter = 0;
};

// When a process calls the configuration service. Commands/RecordRead changes it, Queries/NextRead
// decides by it.
class ReadSchedule {
public:
    ReadState state() const
    {
        std::lock_guard guard(m_lock);
        return m_state;
    }

    template <typename Change>
    void update(Change&& change)
    {
        std::lock_guard guard(m_lock);
        change(m_state);
    }

private:
    mutable std::mutex m_lock;
    ReadState m_state;
};

} // namespace Lavenderloft::Configuration
