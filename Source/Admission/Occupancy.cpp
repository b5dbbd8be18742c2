#include "Admission/Occupancy.h"

namespace Lavenderloft::Admission {

bool Occupancy::tryTake(uint64_t bytes)
{
    std::lock_guard guard(m_lock);
    if (m_figures.taken >= m_figures.limit)
        return false;
    if (bytes > m_figures.byteLimit || m_figures.heldBytes > m_figures.byteLimit - bytes)
        return false;
    ++m_figures.taken;
    m_figures.heldBytes += bytes;
    return true;
}

void Occupancy::giveBack(uint64_t bytes)
{
    std::lock_guard guard(m_lock);
    --m_figures.taken;
    m_figures.heldBytes -= bytes;
}

void Occupancy::setLimit(unsigned limit)
{
    std::lock_guard guard(m_lock);
    m_figures.limit = limit;
}

void Occupancy::setByteLimit(uint64_t byteLimit)
{
    std::lock_guard guard(m_lock);
    m_figures.byteLimit = byteLimit;
}

Occupancy::Figures Occupancy::figures() const
{
    std::lock_guard guard(m_lock);
    return m_figures;
}

} // namespace Lavenderloft::Admission
