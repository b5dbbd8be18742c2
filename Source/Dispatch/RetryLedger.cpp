#include "Dispatch/RetryLedger.h"

namespace Lavenderloft::Dispatch {

RetryLedger::RetryLedger(std::chrono::seconds window)
    : m_sliceLength(std::chrono::duration_cast<Base::Duration>(window) / static_cast<int>(slices))
{
}

int64_t RetryLedger::indexAt(Base::TimePoint now) const
{
    return now.time_since_epoch() / m_sliceLength;
}

RetryLedger::Slice& RetryLedger::sliceAt(Base::TimePoint now)
{
    auto index = indexAt(now);
    auto& slice = m_slices[static_cast<size_t>(index) % m_slices.size()];
    if (slice.index != index)
        slice = { index, 0, 0 };
    return slice;
}

bool RetryLedger::isInWindow(const Slice& slice, int64_t newest) const
{
    return slice.index >= 0 && slice.index <= newest && newest - slice.index <= static_cast<int64_t>(slices);
}

double RetryLedger::requestsPerSecond(Base::TimePoint now) const
{
    auto newest = indexAt(now);
    double requests = 0;
    for (auto& slice : m_slices) {
        if (isInWindow(slice, newest))
            requests += slice.requests;
    }
    return requests / std::chrono::duration<double>(m_sliceLength * static_cast<int>(slices)).count();
}

void RetryLedger::countRequest(Base::TimePoint now)
{
    ++sliceAt(now).requests;
}

bool RetryLedger::tryRepeat(const RetryAllowance& allowance, Base::TimePoint now)
{
    auto newest = indexAt(now);
    double requests = 0;
    double repeats = 0;
    for (auto& slice : m_slices) {
        if (!isInWindow(slice, newest))
            continue;
        requests += slice.requests;
        repeats += slice.repeats;
    }
    if (repeats + 1 > allowance.ratio * requests + allowance.slack)
        return false;
    ++sliceAt(now).repeats;
    return true;
}

} // namespace Lavenderloft::Dispatch
