#pragma once

#include <compare>
#include <cstdint>

namespace Lavenderloft::Fleet {

// Position in the history of the store. A store that returns from an older copy loses its last writes and gives out their
// revisions again; its era rises then, so that what it published before and after can be told apart.
struct StorePosition {
    StorePosition() = default;
    // A position in the era of a store that has never returned from a copy.
    StorePosition(uint64_t storeRevision)
        : revision(storeRevision)
    {
    }
    StorePosition(uint64_t storeEra, uint64_t storeRevision)
        : era(storeEra)
        , revision(storeRevision)
    {
    }

    // More returns of the store than a node can have missed.
    static constexpr uint64_t maximumMissedEras = 1000;

    // Whether the store can have got from this position to the other one. A node without any position takes every one.
    bool mayPrecede(const StorePosition& other) const
    {
        bool isUnknown = *this == StorePosition();
        return isUnknown || other.era <= era || other.era - era <= maximumMissedEras;
    }

    // Ordered by era, then by revision.
    auto operator<=>(const StorePosition&) const = default; // NOLINT(modernize-use-nullptr): false positive

    uint64_t era = 0;
    uint64_t revision = 0;
};

} // namespace Lavenderloft::Fleet
