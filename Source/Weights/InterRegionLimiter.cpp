#include "Weights/InterRegionLimiter.h"

#include <algorithm>

namespace Lavenderloft::Weights {

namespace {

    // Burst size of a token bucket, in seconds at its rate.
    constexpr double burstSeconds = 0.25;

} // namespace

InterRegionLimiter::Link::Link(double senderRate, double shareRate)
    : startBucket(senderRate, senderRate * burstSeconds)
    , partBucket(shareRate, shareRate * burstSeconds)
{
}

InterRegionLimiter::InterRegionLimiter(std::string ownRegion, double shareBytesPerSecond)
    : m_ownRegion(std::move(ownRegion))
    , m_shareRate(shareBytesPerSecond)
{
}

void InterRegionLimiter::setSenders(size_t senders, Base::TimePoint now)
{
    std::lock_guard guard(m_lock);
    m_senders = std::max<size_t>(1, senders);
    for (auto& [region, link] : m_links)
        link->startBucket.setRate(m_shareRate / static_cast<double>(m_senders), now);
}

Base::Duration InterRegionLimiter::startDelay(const std::string& region, Base::TimePoint now) const
{
    if (region == m_ownRegion)
        return Base::Duration::zero();
    return linkTo(region).startBucket.take(0, now);
}

void InterRegionLimiter::accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint now)
{
    if (region != m_ownRegion)
        linkTo(region).startBucket.take(static_cast<double>(bytes), now);
}

Base::Duration InterRegionLimiter::partDelay(const Receiver& receiver, uint64_t bytes, Base::TimePoint now)
{
    if (receiver.region == m_ownRegion)
        return Base::Duration::zero();
    return linkTo(receiver.region).partBucket.take(static_cast<double>(bytes), now);
}

InterRegionLimiter::Link& InterRegionLimiter::linkTo(const std::string& region) const
{
    std::lock_guard guard(m_lock);
    auto& link = m_links[region];
    if (!link)
        link = std::make_unique<Link>(m_shareRate / static_cast<double>(m_senders), m_shareRate);
    return *link;
}

} // namespace Lavenderloft::Weights
