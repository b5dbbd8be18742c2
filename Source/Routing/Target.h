#pragma once

#include "Base/Clock.h"
#include "Membership/Member.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

// How far a target is from this router; nearer tiers are used first.
enum class Tier {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

inline constexpr size_t tierCount = 3;

// A target as the router knows it. The identity does not change; the load is updated by gossip and by
// every answer of the agent.
class Target {
public:
    Target(std::string vm, std::string address, std::string dataCentre, Tier tier, uint64_t incarnation);

    const std::string& vm() const { return m_vm; }
    const std::string& address() const { return m_address; }
    const std::string& dataCentre() const { return m_dataCentre; }
    Tier tier() const { return m_tier; }
    uint64_t incarnation() const { return m_incarnation; }

    // Load relative to the limit: 1 means that every slot is taken. It is the larger of what the agent
    // reported and what this router has under way there, because reports lag.
    double relativeLoad() const;

    // Whether the target refused or broke lately and is better left alone until then.
    bool isAvoided(Base::TimePoint now) const;

    // Digest of the whole weights that the target serves; empty for a plain service. During a rollout it
    // may be that of the version before the declared one.
    std::string servingDigest() const;
    void setServingDigest(std::string);

    // Whether the target reports that it serves the adapter; an empty digest stands for the base model.
    bool servesAdapter(const std::string& digest) const;
    void setAdapters(std::vector<std::string>);

    void setLoad(const Membership::TargetLoad&);

    // Drops the reported load but for the limit.
    void forgetReportedLoad();
    void avoidUntil(Base::TimePoint);
    void attemptStarted() { ++m_underWay; }
    void attemptEnded() { --m_underWay; }

private:
    const std::string m_vm;
    const std::string m_address;
    const std::string m_dataCentre;
    const Tier m_tier;
    const uint64_t m_incarnation;
    mutable std::mutex m_digestLock;
    std::string m_servingDigest;
    std::vector<std::string> m_adapters;
    std::atomic<unsigned> m_running { 0 };
    std::atomic<unsigned> m_queued { 0 };
    std::atomic<unsigned> m_limit { 0 };
    std::atomic<unsigned> m_underWay { 0 };
    std::atomic<Base::TimePoint> m_avoidUntil { Base::TimePoint() };
};

} // namespace Lavenderloft::Routing
