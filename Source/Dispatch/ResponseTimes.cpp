#include "Dispatch/ResponseTimes.h"

#include <boost/histogram.hpp>

namespace Lavenderloft::Dispatch {

namespace {

    namespace histogram = boost::histogram;
    using namespace std::chrono_literals;

    // Seconds. Bins of equal width on a logarithmic scale; 56 of them differ by a fifth each.
    constexpr double shortest = 0.002;
    constexpr double longest = 60;
    constexpr unsigned bins = 56;
    // Weights are halved at this interval.
    constexpr std::chrono::seconds halfLife = 2s;
    // Sum of weights below which a distribution says nothing.
    constexpr double minimumWeight = 4;

    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Histogram = decltype(histogram::make_histogram_with(std::vector<double>(), std::declval<Axis>()));

} // namespace

struct DurationHistogram::Counts {
    Histogram histogram = histogram::make_histogram_with(std::vector<double>(), Axis(bins, shortest, longest));
};

DurationHistogram::DurationHistogram()
    : m_counts(std::make_unique<Counts>())
{
}

DurationHistogram::~DurationHistogram() = default;
DurationHistogram::DurationHistogram(DurationHistogram&&) noexcept = default;
DurationHistogram& DurationHistogram::operator=(DurationHistogram&&) noexcept = default;

double DurationHistogram::remainingShare(Base::TimePoint now) const
{
    auto halvings = static_cast<double>((now - m_decayedAt) / halfLife);
    return std::exp2(-halvings);
}

void DurationHistogram::decay(Base::TimePoint now)
{
    if (now - m_decayedAt < halfLife)
        return;
    m_counts->histogram *= remainingShare(now);
    m_decayedAt = now;
}

void DurationHistogram::record(Base::Duration duration, Base::TimePoint now)
{
    decay(now);
    m_counts->histogram(std::chrono::duration<double>(duration).count());
}

std::optional<Base::Duration> DurationHistogram::quantile(double share, Base::TimePoint now) const
{
    double total = 0;
    for (auto&& bin : histogram::indexed(m_counts->histogram, histogram::coverage::all))
        total += *bin;
    if (total * remainingShare(now) < minimumWeight)
        return std::nullopt;
    double sum = 0;
    for (auto&& bin : histogram::indexed(m_counts->histogram, histogram::coverage::all)) {
        sum += *bin;
        if (sum >= share * total)
            return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(std::min(bin.bin().upper(), longest)));
    }
    return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(longest));
}

} // namespace Lavenderloft::Dispatch
