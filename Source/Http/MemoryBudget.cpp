#include "Http/MemoryBudget.h"

namespace Lavenderloft::Http {

bool MemoryBudget::tryReserve(uint64_t bytes)
{
    if (m_heldBytes.fetch_add(bytes) + bytes <= m_limitBytes)
        return true;
    m_heldBytes -= bytes;
    return false;
}

bool MemoryReservation::growTo(uint64_t bytes)
{
    if (bytes <= m_bytes)
        return true;
    if (!m_budget.tryReserve(bytes - m_bytes))
        return false;
    m_bytes = bytes;
    return true;
}

} // namespace Lavenderloft::Http
