#pragma once

#include "Base/Clock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Lavenderloft::Dispatch {

// Retry budget of one router.
struct RetryLimits {
    // Retries per request.
    double ratio = 0;
    // Additional retries per window.
    double slack = 0;
};

// What a window holds.
struct RetryUse {
    uint32_t requests = 0;
    uint32_t retries = 0;
    // Not sent yet.
    uint32_t reservedRetries = 0;
};

// Counts the requests and retries of a service over a sliding window.
class RetryWindow {
public:
    // The window is at least one second.
    explicit RetryWindow(std::chrono::seconds window = std::chrono::seconds(10));

    void countRequest(Base::TimePoint now);

    RetryUse use(Base::TimePoint now) const;

    // Average over the window.
    double requestsPerSecond(Base::TimePoint now) const;

    // Reserves a retry if the limits allow it besides those sent in the window and those reserved; returns whether they do.
    bool reserveRetry(const RetryLimits&, Base::TimePoint now);

    // Counts a reserved retry as sent now.
    void countReservedRetry(Base::TimePoint now);

    // Takes back a reserved retry that is sent to no target.
    void cancelReservedRetry();

    // Counts a retry as sent now if the limits allow it; returns whether they do.
    bool tryRetry(const RetryLimits&, Base::TimePoint now);

private:
    static constexpr size_t slices = 20;

    struct Slice {
        int64_t index = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };

    Slice& sliceAt(Base::TimePoint now);
    int64_t indexAt(Base::TimePoint now) const;
    bool isInWindow(const Slice&, int64_t newest) const;

    Base::Duration m_sliceLength;
    std::array<Slice, slices + 1> m_slices;
    // They may be sent at any time, so they count in every window.
    uint32_t m_reservedRetries = 0;
};

} // namespace Lavenderloft::Dispatch
