#pragma once

#include "Base/Clock.h"
#include "Membership/Member.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace Lavenderloft::Routing {

// Distance of a target from this router. Nearer tiers are preferred.
enum class Tier {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

inline constexpr size_t tierCount = 3;

// The router's view of a target. The identity is constant; the load is updated by gossip and by every response
// of the agent.
class Target {
public:
    Target(std::string vm, std::string address, std::string dataCentre, Tier tier, uint64_t incarnation);

    const std::string& vm() const { return m_vm; }
    const std::string& address() const { return m_address; }
    const std::string& dataCentre() const { return m_dataCentre; }
    Tier tier() const { return m_tier; }
    uint64_t incarnation() const { return m_incarnation; }

    // Load relative to the limit, where 1 means that all slots are in use. Uses the larger of the reported load
    // and this router's attempts in flight, because reports lag.
    double relativeLoad() const;

    // Whether the target failed recently and should not be selected yet.
    bool isInBackoff(Base::TimePoint now) const;

    // Digest of the weights that the target serves; empty for a plain service. During a rollout, it may still be
    // the digest of the previous version.
    std::string servingDigest() const;
    void setServingDigest(std::string);

    // Whether the target reported the adapter as loaded. Always true for an empty digest, the base model.
    bool servesAdapter(const std::string& digest) const;
    void setAdapters(std::vector<std::string>);

    void setLoad(const Membership::TargetLoad&);

    // Resets the reported load except the limit.
    void resetReportedLoad();
    void setBackoffUntil(Base::TimePoint);
    void attemptStarted() { ++m_inFlight; }
    void attemptEnded() { --m_inFlight; }

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
    std::atomic<unsigned> m_inFlight { 0 };
    std::atomic<Base::TimePoint> m_backoffUntil { Base::TimePoint() };
};

} // namespace Lavenderloft::Routing
