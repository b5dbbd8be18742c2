#pragma once

#include "Base/Clock.h"
#include "Base/TokenBucket.h"
#include "Weights/LinkLimiter.h"

#include <boost/interprocess/mapped_region.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Bench {

// Rates in bytes per second and direction.
struct LinkRates {
    double origin = 0;
    double vm = 0;
    double interRegion = 0;
};

// A VM and the region whose links it uses.
struct LinkedVm {
    std::string name;
    std::string region;
};

// Simulates the links of a fleet by token buckets and counts the bytes sent over them. Thread-safe. The state is in
// shared memory, so that processes forked after the construction share the links.
class RolloutLinks {
public:
    RolloutLinks(LinkRates, std::string storeRegion, const std::vector<LinkedVm>&);
    ~RolloutLinks();

    // Reserves link capacity from the origin to the VM and returns the delay before the bytes may be sent.
    Base::Duration reserveFromOrigin(const std::string& vm, uint64_t bytes, Base::TimePoint);

    // Reserves link capacity between two VMs and returns the delay before the bytes may be sent.
    Base::Duration reserveBetweenVms(const std::string& sender, const std::string& receiver, uint64_t bytes, Base::TimePoint);

    uint64_t originBytes() const;

    // Bytes sent over each inter-region link, by "from-to".
    std::map<std::string, uint64_t> interRegionBytes() const;

    // Bytes that the region received from the others.
    uint64_t bytesInto(const std::string& region) const;

    std::string regionOf(const std::string& vm) const;

private:
    struct State;
    struct VmLinks;
    struct InterRegionLink;

    struct Vm {
        std::string region;
        size_t index = 0;
    };

    // These require the lock of the shared state.
    Base::Duration reserveInterRegion(const std::string& from, const std::string& to, uint64_t bytes, Base::TimePoint);
    VmLinks& linksOf(const Vm&) const;
    InterRegionLink& link(const std::string& from, const std::string& to) const;

    std::string m_storeRegion;
    std::map<std::string, Vm> m_vms;
    std::map<std::string, size_t> m_regions;
    boost::interprocess::mapped_region m_memory;
    State* m_state = nullptr;
    VmLinks* m_vmLinks = nullptr;
    InterRegionLink* m_interRegionLinks = nullptr;
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
