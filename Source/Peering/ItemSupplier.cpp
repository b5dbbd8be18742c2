#include "Peering/ItemSupplier.h"

#include "Fleet/Queries/ReadFleet.h"

namespace Lavenderloft::Peering {

ItemSupplier::ItemSupplier(const Fleet::FleetState& fleet, const Base::Clock& clock)
    : m_fleet(fleet)
    , m_clock(clock)
{
}

std::optional<ItemBatch> ItemSupplier::itemsAfter(Fleet::StorePosition position, ValueEncoding encoding)
{
    if (position > Fleet::StorePosition() && Fleet::Queries::mayMissDeletions(m_fleet, position))
        return std::nullopt;
    ItemBatch batch;
    // Read first, so that items which arrive meanwhile are newer than the position.
    batch.position = Fleet::Queries::knownPosition(m_fleet);
    batch.items = Fleet::Queries::itemsAfter(m_fleet, position, m_clock.now());
    if (encoding == ValueEncoding::Packed)
        m_packer.pack(batch, m_fleet, position);
    return batch;
}

} // namespace Lavenderloft::Peering
