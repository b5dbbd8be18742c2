#include "Bench/RolloutLinks.h"

#include <algorithm>
#include <boost/interprocess/anonymous_shared_memory.hpp>
#include <boost/interprocess/sync/interprocess_mutex.hpp>
#include <memory>
#include <mutex>

namespace Lavenderloft::Bench {

namespace {

    // Burst size of a token bucket, in seconds of its rate.
    constexpr double burstSeconds = 0.02;

    // A token bucket's own lock works within one process only. It is never contended, because the lock of the shared
    // state is held at each call.
    struct Link {
        explicit Link(double rate)
            : bucket(rate, rate * burstSeconds)
        {
        }

        Base::Duration reserve(uint64_t count, Base::TimePoint now)
        {
            bytes += count;
            return bucket.take(static_cast<double>(count), now);
        }

        Base::TokenBucket bucket;
        uint64_t bytes = 0;
    };

} // namespace

struct RolloutLinks::State {
    explicit State(double originRate)
        : origin(originRate)
    {
    }

    boost::interprocess::interprocess_mutex lock;
    Link origin;
};

struct RolloutLinks::VmLinks {
    explicit VmLinks(double rate)
        : uplink(rate)
        , downlink(rate)
    {
    }

    Link uplink;
    Link downlink;
};

struct RolloutLinks::InterRegionLink {
    explicit InterRegionLink(double rate)
        : link(rate)
    {
    }

    Link link;
};

RolloutLinks::RolloutLinks(LinkRates rates, std::string storeRegion, const std::vector<LinkedVm>& vms)
    : m_storeRegion(std::move(storeRegion))
{
    m_regions.emplace(m_storeRegion, m_regions.size());
    for (auto& vm : vms) {
        m_regions.emplace(vm.region, m_regions.size());
        m_vms[vm.name] = { vm.region, m_vms.size() };
    }
    auto linkCount = m_regions.size() * m_regions.size();
    m_memory = boost::interprocess::anonymous_shared_memory(sizeof(State) + vms.size() * sizeof(VmLinks) + linkCount * sizeof(InterRegionLink));
    m_state = std::construct_at(static_cast<State*>(m_memory.get_address()), rates.origin);
    m_vmLinks = reinterpret_cast<VmLinks*>(m_state + 1);
    for (size_t i = 0; i < vms.size(); ++i)
        std::construct_at(m_vmLinks + i, rates.vm);
    m_interRegionLinks = reinterpret_cast<InterRegionLink*>(m_vmLinks + vms.size());
    for (size_t i = 0; i < linkCount; ++i)
        std::construct_at(m_interRegionLinks + i, rates.interRegion);
}

RolloutLinks::~RolloutLinks() = default;

Base::Duration RolloutLinks::reserveFromOrigin(const std::string& vm, uint64_t bytes, Base::TimePoint now)
{
    auto& receiver = m_vms.at(vm);
    std::lock_guard guard(m_state->lock);
    auto delay = std::max(m_state->origin.reserve(bytes, now), linksOf(receiver).downlink.reserve(bytes, now));
    return std::max(delay, reserveInterRegion(m_storeRegion, receiver.region, bytes, now));
}

Base::Duration RolloutLinks::reserveBetweenVms(const std::string& sender, const std::string& receiver, uint64_t bytes, Base::TimePoint now)
{
    auto& from = m_vms.at(sender);
    auto& to = m_vms.at(receiver);
    std::lock_guard guard(m_state->lock);
    auto delay = std::max(linksOf(from).uplink.reserve(bytes, now), linksOf(to).downlink.reserve(bytes, now));
    return std::max(delay, reserveInterRegion(from.region, to.region, bytes, now));
}

uint64_t RolloutLinks::originBytes() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->origin.bytes;
}

std::map<std::string, uint64_t> RolloutLinks::interRegionBytes() const
{
    std::lock_guard guard(m_state->lock);
    std::map<std::string, uint64_t> bytes;
    for (auto& [from, fromIndex] : m_regions) {
        for (auto& [to, toIndex] : m_regions) {
            if (auto count = link(from, to).link.bytes)
                bytes[from + "-" + to] = count;
        }
    }
    return bytes;
}

uint64_t RolloutLinks::bytesInto(const std::string& region) const
{
    std::lock_guard guard(m_state->lock);
    uint64_t bytes = 0;
    for (auto& [from, index] : m_regions)
        bytes += link(from, region).link.bytes;
    return bytes;
}

std::string RolloutLinks::regionOf(const std::string& vm) const
{
    auto entry = m_vms.find(vm);
    return entry == m_vms.end() ? std::string() : entry->second.region;
}

Base::Duration RolloutLinks::reserveInterRegion(const std::string& from, const std::string& to, uint64_t bytes, Base::TimePoint now)
{
    if (from == to)
        return Base::Duration::zero();
    return link(from, to).link.reserve(bytes, now);
}

RolloutLinks::VmLinks& RolloutLinks::linksOf(const Vm& vm) const
{
    return m_vmLinks[vm.index];
}

RolloutLinks::InterRegionLink& RolloutLinks::link(const std::string& from, const std::string& to) const
{
    return m_interRegionLinks[m_regions.at(from) * m_regions.size() + m_regions.at(to)];
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
