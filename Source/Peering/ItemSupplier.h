#pragma once

#include "Base/Clock.h"
#include "Peering/PeeringCodec.h"
#include "Peering/ValuePacker.h"

#include <optional>

namespace Lavenderloft::Peering {

// How large values are sent to another node.
enum class ValueEncoding {
    // As differences from the values that the node has.
    Packed,
    Plain,
};

// Supplies the published items of this node to others. Used on one event loop.
class ItemSupplier {
public:
    ItemSupplier(const Fleet::FleetState&, const Base::Clock&);

    // Returns the items after the position, all items if it is zero; nullopt if this node may lack deletions after it.
    std::optional<ItemBatch> itemsAfter(Fleet::StorePosition, ValueEncoding);

private:
    const Fleet::FleetState& m_fleet;
    const Base::Clock& m_clock;
    ValuePacker m_packer;
};

} // namespace Lavenderloft::Peering
