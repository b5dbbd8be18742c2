#pragma once

#include "Base/Clock.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Lavenderloft::Dispatch {

// Bounds of the requests that may be sent again, for one router.
struct RetryAllowance {
    // Repeats allowed for each request.
    double ratio = 0;
    // Repeats allowed beside, in one window.
    double slack = 0;
};

// Counts the requests of a service and how many were sent again, over a sliding window.
class RetryLedger {
public:
    explicit RetryLedger(std::chrono::seconds window = std::chrono::seconds(10));

    void countRequest(Base::TimePoint now);

    // Requests a second over the window.
    double requestsPerSecond(Base::TimePoint now) const;

    // Counts a repeat if the allowance has room for it.
    bool tryRepeat(const RetryAllowance&, Base::TimePoint now);

private:
    static constexpr size_t slices = 20;

    struct Slice {
        int64_t index = -1;
        uint32_t requests = 0;
        uint32_t repeats = 0;
    };

    Slice& sliceAt(Base::TimePoint now);
    int64_t indexAt(Base::TimePoint now) const;
    bool isInWindow(const Slice&, int64_t newest) const;

    Base::Duration m_sliceLength;
    std::array<Slice, slices + 1> m_slices;
};

} // namespace Lavenderloft::Dispatch
