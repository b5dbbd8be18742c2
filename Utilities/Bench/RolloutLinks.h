#pragma once

#include "Base/Clock.h"
#include "Base/TokenBucket.h"
#include "Weights/LinkLimiter.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Lavenderloft::Bench {

// Rates in bytes per second and direction.
struct LinkRates {
    double origin = 0;
    double vm = 0;
    double interRegion = 0;
};

// Simulates the links of a fleet by token buckets and counts the bytes sent over them. Thread-safe.
class RolloutLinks {
public:
    RolloutLinks(LinkRates, std::string storeRegion);

    void addVm(const std::string& vm, const std::string& region);

    // Reserves link capacity from the origin to the VM and returns the delay before the bytes may be sent.
    Base::Duration reserveFromOrigin(const std::string& vm, uint64_t bytes, Base::TimePoint);

    // Reserves link capacity between two VMs and returns the delay before the bytes may be sent.
    Base::Duration reserveBetweenVms(const std::string& sender, const std::string& receiver, uint64_t bytes, Base::TimePoint);

    uint64_t originBytes() const { return m_originBytes; }

    // Bytes sent over each inter-region link, by "from-to".
    std::map<std::string, uint64_t> interRegionBytes() const;

    // Bytes that the region received from the others.
    uint64_t bytesInto(const std::string& region) const;

    std::string regionOf(const std::string& vm) const;

private:
    struct Vm {
        std::string region;
        std::unique_ptr<Base::TokenBucket> uplink;
        std::unique_ptr<Base::TokenBucket> downlink;
    };

    struct InterRegionLink {
        std::unique_ptr<Base::TokenBucket> bucket;
        uint64_t bytes = 0;
    };

    std::unique_ptr<Base::TokenBucket> makeBucket(double rate) const;
    Base::Duration reserveInterRegion(const std::string& from, const std::string& to, uint64_t bytes, Base::TimePoint);

    LinkRates m_rates;
    std::string m_storeRegion;
    Base::TokenBucket m_origin;
    std::atomic<uint64_t> m_originBytes { 0 };
    mutable std::mutex m_lock;
    std::map<std::string, Vm> m_vms;
    std::map<std::pair<std::string, std::string>, InterRegionLink> m_interRegion;
};

// Limits the uploads of one VM by the simulated links.
class VmLinkLimiter final : public Weights::LinkLimiter {
public:
    VmLinkLimiter(std::shared_ptr<RolloutLinks>, std::string vm);

    Base::Duration startDelay(const std::string& region, Base::TimePoint) const override;
    void accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint) override;
    Base::Duration partDelay(const Weights::Receiver&, uint64_t bytes, Base::TimePoint) override;

private:
    std::shared_ptr<RolloutLinks> m_links;
    std::string m_vm;
};

} // namespace Lavenderloft::Bench
