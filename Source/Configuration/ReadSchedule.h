#pragma once

#include "Base/Clock.h"

#include <mutex>
#include <optional>

namespace Lavenderloft::Configuration {

// State of this process's calls to the configuration service.
struct ReadState {
    // Start of the process, or the end of its last pause.
    Base::TimePoint startedAt {};
    // Peers queried for their document at the start, and the number of their responses.
    size_t peersAsked = 0;
    size_t peersResponded = 0;
    std::optional<Base::TimePoint> allPeersRespondedAt;
    // When the service last confirmed the active document, to this process or to a peer with the same document.
    std::optional<Base::TimePoint> confirmedAt;
    std::optional<Base::TimePoint> lastCallStartedAt;
    bool isCalling = false;
    // Consecutive calls that returned no new document or failed.
    unsigned callsWithoutNewDocument = 0;
    // Position of the next call within its jitter window, in [0, 1).
    double jitter = 0;
};

// Thread-safe holder of the ReadState, which Commands/RecordRead updates and Queries/NextRead evaluates.
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
