#pragma once

#include "Base/Clock.h"

#include <memory>
#include <optional>

namespace Lavenderloft::Dispatch {

// Distribution of recent durations. Older ones lose weight over time.
class DurationHistogram {
public:
    DurationHistogram();
    ~DurationHistogram();
    DurationHistogram(DurationHistogram&&) noexcept;
    DurationHistogram& operator=(DurationHistogram&&) noexcept;

    void record(Base::Duration, Base::TimePoint now);

    // The duration that the given share of the recent ones does not exceed, within a tenth. Nothing if there are too few.
    std::optional<Base::Duration> quantile(double share, Base::TimePoint now) const;

private:
    struct Counts;

    // Factor by which the weights have fallen since they were last decayed.
    double remainingShare(Base::TimePoint now) const;
    void decay(Base::TimePoint now);

    std::unique_ptr<Counts> m_counts;
    Base::TimePoint m_decayedAt {};
};

// How fast the targets of a service respond at present.
struct ResponseTimes {
    // From the request to the first part of the response.
    DurationHistogram firstPart;
    // Longest pause within a response.
    DurationHistogram longestPause;
};

} // namespace Lavenderloft::Dispatch
