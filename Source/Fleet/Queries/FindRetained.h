#pragma once

#include "Fleet/FleetState.h"

#include <optional>

namespace Lavenderloft::Fleet::Queries {

// A version of an item that the store lost and that stays in force against the one that an older copy shows.
struct RetainedVersion {
    Publication publication;
    // Until the item is written again if empty.
    std::optional<Base::TimePoint> until;
    // The known value is relayed instead of the one that the copy shows.
    bool keepsValue = false;
};

// When an item was written, as far as it is known.
enum class WriteTime {
    // The copy may have it.
    Unknown,
    // After a listing of its era.
    AfterListing,
};

// Decides whether what was known of an item stays in force when a store that returned from an older copy shows the item as
// it was before. Nothing that was acknowledged is undone until it is written again: a configuration and a declaration of
// weights keep the highest version, a target that is leaving or gone is not used again in its incarnation, and an evacuation
// that has ended does not return.
std::optional<RetainedVersion> findRetained(const FleetState::Record& known, const PublishedItem& shown, const Publication& publication, WriteTime, Base::TimePoint now);

// Whether a node with that position relays the item because it stays in force although the listing of the later era lacks it.
bool isRetainedElsewhere(const PublishedItem&, const Publication&, StorePosition sender);

// Whether the publication is a higher version of the known one.
bool isHigherVersion(const Publication&, const Publication& known);

// Whether the item stays in force if the listing of a later era lacks it.
bool isRetainedIfMissing(const FleetState::Record&, StorePosition listing);

// Digest of the version that the record keeps in force against an older copy of the store; zero if it keeps none. Combined by
// exclusive or over all records.
uint64_t digestOfRetained(const FleetState::Record&, StorePosition);

} // namespace Lavenderloft::Fleet::Queries
