#pragma once

#include "Fleet/FleetState.h"
#include "Peering/PeeringCodec.h"

#include <cstdint>
#include <map>
#include <string>

namespace Lavenderloft::Peering {

// Compresses large values for their way to other nodes. A node that has the value before gets only the difference, so that
// the cost of a change follows its size instead of the size of the value. Not thread-safe.
class ValuePacker {
public:
    // Compresses the large values of a batch for a receiver that has all items up to the given position.
    void pack(ItemBatch&, const Fleet::FleetState&, Fleet::StorePosition receiverPosition);

private:
    // The last results for one key. Many nodes ask for the same change within a short time.
    struct PackedVersions {
        Fleet::StorePosition position;
        uint64_t digest = 0;
        // By position of the base.
        std::map<Fleet::StorePosition, PackedValue> byBase;
    };

    const PackedValue& packed(const Fleet::PublishedItem&, const Fleet::FleetState::PreviousValue* base);

    std::map<std::string, PackedVersions> m_versions;
};

// Restores the packed values of a batch that another node sent. Returns false if one of them is not valid or needs a value
// that this node does not have; the batch must not be used then.
bool unpackValues(ItemBatch&, const Fleet::FleetState&);

} // namespace Lavenderloft::Peering
