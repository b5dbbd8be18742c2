#include "Admission/Occupancy.h"

namespace Lavenderloft::Admission {

bool Occupancy::tryAcquire(uint64_t bytes)
{
    std::lock_guard guard(m_lock);
    if (m_usage.slots >= m_usage.limit)
        return false;
    if (bytes > m_usage.byteLimit || m_usage.heldBytes > m_usage.byteLimit - bytes)
        return false;
    ++m_usage.slots;
    m_usage.heldBytes += bytes;
    return true;
}

void Occupancy::release(uint64_t bytes)
{
    std::lock_guard guard(m_lock);
    --m_usage.slots;
    m_usage.heldBytes -= bytes;
}

void Occupancy::setLimit(unsigned limit)
{
    std::lock_guard guard(m_lock);
    m_usage.limit = limit;
}

void Occupancy::setByteLimit(uint64_t byteLimit)
{
    std::lock_guard guard(m_lock);
    m_usage.byteLimit = byteLimit;
}

Occupancy::Usage Occupancy::usage() const
{
    std::lock_guard guard(m_lock);
    return m_usage;
}

} // namespace Lavenderloft::Admission
