#include "Dispatch/RetryWindow.h"

#include <algorithm>

namespace Lavenderloft::Dispatch {

namespace {

    constexpr std::chrono::seconds minimumWindow { 1 };

} // namespace

RetryWindow::RetryWindow(std::chrono::seconds window)
    : m_sliceLength(std::chrono::duration_cast<Base::Duration>(std::max(window, minimumWindow)) / static_cast<int>(slices))
{
}

int64_t RetryWindow::indexAt(Base::TimePoint now) const
{
    return now.time_since_epoch() / m_sliceLength;
}

RetryWindow::Slice& RetryWindow::sliceAt(Base::TimePoint now)
{
    auto index = indexAt(now);
    auto& slice = m_slices[static_cast<size_t>(index) % m_slices.size()];
    if (slice.index != index)
        slice = { index, 0, 0 };
    return slice;
}

bool RetryWindow::isInWindow(const Slice& slice, int64_t newest) const
{
    return slice.index >= 0 && slice.index <= newest && newest - slice.index <= static_cast<int64_t>(slices);
}

RetryUse RetryWindow::use(Base::TimePoint now) const
{
    auto newest = indexAt(now);
    RetryUse use { 0, 0, m_reservedRetries };
    for (auto& slice : m_slices) {
        if (!isInWindow(slice, newest))
            continue;
        use.requests += slice.requests;
        use.retries += slice.retries;
    }
    return use;
}

double RetryWindow::requestsPerSecond(Base::TimePoint now) const
{
    return use(now).requests / std::chrono::duration<double>(m_sliceLength * static_cast<int>(slices)).count();
}

void RetryWindow::countRequest(Base::TimePoint now)
{
    ++sliceAt(now).requests;
}

bool RetryWindow::reserveRetry(const RetryLimits& limits, Base::TimePoint now)
{
    auto used = use(now);
    if (used.retries + used.reservedRetries + 1 > limits.ratio * used.requests + limits.slack)
        return false;
    ++m_reservedRetries;
    return true;
}

void RetryWindow::countReservedRetry(Base::TimePoint now)
{
    --m_reservedRetries;
    ++sliceAt(now).retries;
}

void RetryWindow::cancelReservedRetry()
{
    --m_reservedRetries;
}

bool RetryWindow::tryRetry(const RetryLimits& limits, Base::TimePoint now)
{
    bool isAllowed = reserveRetry(limits, now);
    if (isAllowed)
        countReservedRetry(now);
    return isAllowed;
}

} // namespace Lavenderloft::Dispatch
