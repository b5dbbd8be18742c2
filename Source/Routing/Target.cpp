#include "Routing/Target.h"

#include <algorithm>

namespace Lavenderloft::Routing {

Target::Target(std::string vm, std::string address, std::string dataCentre, Tier tier, uint64_t incarnation)
    : m_vm(std::move(vm))
    , m_address(std::move(address))
    , m_dataCentre(std::move(dataCentre))
    , m_tier(tier)
    , m_incarnation(incarnation)
{
}

double Target::relativeLoad() const
{
    auto busy = std::max(m_running.load() + m_queued.load(), m_inFlight.load());
    // A target with an unknown limit counts as having one slot.
    return static_cast<double>(busy) / std::max(1u, m_limit.load());
}

bool Target::isInBackoff(Base::TimePoint now) const
{
    return now < m_backoffUntil.load();
}

std::string Target::servingDigest() const
{
    std::lock_guard guard(m_digestLock);
    return m_servingDigest;
}

void Target::setServingDigest(std::string digest)
{
    std::lock_guard guard(m_digestLock);
    m_servingDigest = std::move(digest);
}

bool Target::servesAdapter(const std::string& digest) const
{
    if (digest.empty())
        return true;
    std::lock_guard guard(m_digestLock);
    return std::find(m_adapters.begin(), m_adapters.end(), digest) != m_adapters.end();
}

void Target::setAdapters(std::vector<std::string> adapters)
{
    std::lock_guard guard(m_digestLock);
    m_adapters = std::move(adapters);
}

void Target::setLoad(const Membership::TargetLoad& load)
{
    m_running = load.running;
    m_queued = load.queued;
    m_limit = load.limit;
}

void Target::resetReportedLoad()
{
    m_running = 0;
    m_queued = 0;
}

void Target::setBackoffUntil(Base::TimePoint until)
{
    m_backoffUntil = until;
}

} // namespace Lavenderloft::Routing
