#pragma once

#include "Peering/ModelRouter.h"
#include "Peering/ModelStore.h"

#include <chrono>
#include <optional>
#include <string>

namespace Lavenderloft::Peering {

inline std::string textOf(Fleet::StorePosition position)
{
    return std::to_string(position.era) + "." + std::to_string(position.revision);
}

inline uint64_t configurationVersion(const ModelRouter& router)
{
    auto configuration = Fleet::Queries::currentSnapshot(router.fleet)->configuration;
    return configuration ? configuration->version : 0;
}

// Returns what the router went back to: an older configuration, or an older position of an item.
inline std::optional<std::string> findReversal(ModelRouter& router)
{
    auto version = configurationVersion(router);
    if (version < router.highestConfiguration)
        return "configuration " + std::to_string(version) + " in force after " + std::to_string(router.highestConfiguration);
    router.highestConfiguration = version;
    return router.fleet.withContents([&](auto& contents) {
        std::optional<std::string> reversal;
        for (auto& [key, record] : contents.records) {
            auto& highest = router.highestPositions[key];
            if (record.item.position < highest)
                reversal = key + " went back to " + textOf(record.item.position);
            highest = record.item.position;
        }
        return reversal;
    });
}

// Returns an item that the router lacks, or has otherwise than it was written, although it counts as complete up to the time:
// it must have what the store had then, or something newer.
inline std::optional<std::string> findMissingItem(const ModelRouter& router, const ModelStore& store, Base::TimePoint asOf, Base::TimePoint now)
{
    return router.fleet.withContents([&](auto& contents) {
        std::optional<std::string> missing;
        for (auto& [key, version] : store.itemsAt(asOf)) {
            auto record = contents.records.find(key);
            bool isKnown = record != contents.records.end() && record->second.item.position >= version.position;
            bool isGone = (record == contents.records.end() || record->second.item.deleted) && store.isMissingSince(key, asOf);
            if (!isKnown && !isGone)
                missing = "lacks " + key + " of " + textOf(version.position) + ", but counts as complete " + std::to_string((now - asOf) / std::chrono::milliseconds(1)) + " ms ago by " + contents.completeness->source;
            if (isKnown && !record->second.item.deleted && !store.mayBeKnownAs(key, record->second.item.value, record->second.item.position))
                missing = "has a value of " + key + " that was never written at its position";
        }
        return missing;
    });
}

} // namespace Lavenderloft::Peering
