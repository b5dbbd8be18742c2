#include "Peering/ValuePacker.h"

#include "Configuration/Queries/DocumentDelta.h"
#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>
#include <xxhash.h>

namespace Lavenderloft::Peering {

namespace {

    // A smaller value fits into few packets.
    constexpr size_t minimumPackedBytes = Fleet::FleetState::minimumPreviousValueBytes;
    // Receivers refuse to restore larger documents.
    constexpr size_t maximumPackedBytes = 2 * 1024 * 1024;

    uint64_t digestOf(const std::string& value)
    {
        return XXH3_64bits(value.data(), value.size());
    }

    bool unpackValue(Fleet::PublishedItem& item, const PackedValue& packed, const Fleet::FleetState& fleet)
    {
        std::shared_ptr<const Fleet::FleetState::PreviousValue> base;
        if (packed.basePosition > Fleet::StorePosition()) {
            base = Fleet::Queries::valueAsOf(fleet, item.key, packed.basePosition);
            if (!base || base->position != packed.basePosition)
                return false;
        }
        auto value = Configuration::Queries::applyDelta(base ? base->value : std::string(), packed.bytes);
        if (!Base::succeeded(value) || digestOf(Base::valueOf(value)) != packed.digest)
            return false;
        item.value = std::move(Base::valueOf(value));
        return true;
    }

} // namespace

const PackedValue& ValuePacker::packed(const Fleet::PublishedItem& item, const Fleet::FleetState::PreviousValue* base)
{
    auto& versions = m_versions[item.key];
    // Of a retained version, the value can change at the same position.
    auto digest = digestOf(item.value);
    if (versions.position != item.position || versions.digest != digest)
        versions = { item.position, digest, {} };
    auto basePosition = base ? base->position : Fleet::StorePosition();
    auto [version, isNew] = versions.byBase.try_emplace(basePosition);
    if (isNew)
        version->second = { Configuration::Queries::makeDelta(base ? base->value : std::string(), item.value), basePosition, digest };
    return version->second;
}

void ValuePacker::pack(ItemBatch& batch, const Fleet::FleetState& fleet, Fleet::StorePosition receiverPosition)
{
    for (auto& item : batch.items) {
        if (item.value.size() < minimumPackedBytes || item.value.size() > maximumPackedBytes)
            continue;
        auto base = Fleet::Queries::valueAsOf(fleet, item.key, receiverPosition);
        auto& value = packed(item, base.get());
        if (!value.bytes.empty())
            batch.packedValues[item.key] = value;
    }
}

bool unpackValues(ItemBatch& batch, const Fleet::FleetState& fleet)
{
    return std::all_of(batch.items.begin(), batch.items.end(), [&](Fleet::PublishedItem& item) {
        auto packed = batch.packedValues.find(item.key);
        return packed == batch.packedValues.end() || unpackValue(item, packed->second, fleet);
    });
}

} // namespace Lavenderloft::Peering
