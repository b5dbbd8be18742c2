#include "Peering/StoreTakeover.h"

namespace Lavenderloft::Peering {

void StoreTakeover::recordSupply(bool isSupplied, Base::TimePoint now)
{
    if (isSupplied)
        m_unsuppliedSince.reset();
    else if (!m_unsuppliedSince)
        m_unsuppliedSince = now;
}

bool StoreTakeover::isDue(size_t rank, Base::TimePoint now) const
{
    auto delay = groupStep * (rank / groupSize) + step * (rank % groupSize);
    return m_unsuppliedSince && now - *m_unsuppliedSince >= delay;
}

} // namespace Lavenderloft::Peering
