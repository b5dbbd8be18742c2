#include "Bench/RolloutLinks.h"

#include <algorithm>

namespace Lavenderloft::Bench {

namespace {

    // Burst size of a token bucket, in seconds of its rate.
    constexpr double burstSeconds = 0.02;

} // namespace

RolloutLinks::RolloutLinks(LinkRates rates, std::string storeRegion)
    : m_rates(rates)
    , m_storeRegion(std::move(storeRegion))
    , m_origin(rates.origin, rates.origin * burstSeconds)
{
}

void RolloutLinks::addVm(const std::string& vm, const std::string& region)
{
    std::lock_guard guard(m_lock);
    m_vms[vm] = { region, makeBucket(m_rates.vm), makeBucket(m_rates.vm) };
}

Base::Duration RolloutLinks::reserveFromOrigin(const std::string& vm, uint64_t bytes, Base::TimePoint now)
{
    m_originBytes += bytes;
    auto delay = m_origin.take(static_cast<double>(bytes), now);
    std::lock_guard guard(m_lock);
    auto& receiver = m_vms.at(vm);
    delay = std::max(delay, receiver.downlink->take(static_cast<double>(bytes), now));
    return std::max(delay, reserveInterRegion(m_storeRegion, receiver.region, bytes, now));
}

Base::Duration RolloutLinks::reserveBetweenVms(const std::string& sender, const std::string& receiver, uint64_t bytes, Base::TimePoint now)
{
    std::lock_guard guard(m_lock);
    auto& from = m_vms.at(sender);
    auto& to = m_vms.at(receiver);
    auto delay = std::max(from.uplink->take(static_cast<double>(bytes), now), to.downlink->take(static_cast<double>(bytes), now));
    return std::max(delay, reserveInterRegion(from.region, to.region, bytes, now));
}

std::map<std::string, uint64_t> RolloutLinks::interRegionBytes() const
{
    std::lock_guard guard(m_lock);
    std::map<std::string, uint64_t> bytes;
    for (auto& [ends, link] : m_interRegion)
        bytes[ends.first + "-" + ends.second] = link.bytes;
    return bytes;
}

uint64_t RolloutLinks::bytesInto(const std::string& region) const
{
    std::lock_guard guard(m_lock);
    uint64_t bytes = 0;
    for (auto& [ends, link] : m_interRegion)
        bytes += ends.second == region ? link.bytes : 0;
    return bytes;
}

std::string RolloutLinks::regionOf(const std::string& vm) const
{
    std::lock_guard guard(m_lock);
    auto entry = m_vms.find(vm);
    return entry == m_vms.end() ? std::string() : entry->second.region;
}

std::unique_ptr<Base::TokenBucket> RolloutLinks::makeBucket(double rate) const
{
    return std::make_unique<Base::TokenBucket>(rate, rate * burstSeconds);
}

// Requires the lock.
Base::Duration RolloutLinks::reserveInterRegion(const std::string& from, const std::string& to, uint64_t bytes, Base::TimePoint now)
{
    if (from == to)
        return Base::Duration::zero();
    auto& link = m_interRegion[{ from, to }];
    if (!link.bucket)
        link.bucket = makeBucket(m_rates.interRegion);
    link.bytes += bytes;
    return link.bucket->take(static_cast<double>(bytes), now);
}

VmLinkLimiter::VmLinkLimiter(std::shared_ptr<RolloutLinks> links, std::string vm)
    : m_links(std::move(links))
    , m_vm(std::move(vm))
{
}

Base::Duration VmLinkLimiter::startDelay(const std::string&, Base::TimePoint) const
{
    return Base::Duration::zero();
}

void VmLinkLimiter::accountUpload(const std::string&, uint64_t, Base::TimePoint)
{
}

Base::Duration VmLinkLimiter::partDelay(const Weights::Receiver& receiver, uint64_t bytes, Base::TimePoint now)
{
    return m_links->reserveBetweenVms(m_vm, receiver.vm, bytes, now);
}

} // namespace Lavenderloft::Bench
