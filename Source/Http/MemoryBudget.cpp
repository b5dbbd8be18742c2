#include "Http/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Http {

bool MemoryBudget::tryReserve(uint64_t bytes)
{
    if (!hasRoomFor(bytes))
        return false;
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

void MemoryReservation::shrinkTo(uint64_t bytes)
{
    auto kept = std::min(bytes, m_bytes);
    m_budget.release(std::exchange(m_bytes, kept) - kept);
}

} // namespace Lavenderloft::Http
