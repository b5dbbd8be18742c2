#pragma once

#include "Fleet/FleetState.h"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Lavenderloft::Fleet::Queries {

std::shared_ptr<const FleetSnapshot> currentSnapshot(const FleetState&);

// The snapshot with its completeness. A denial needs both of the same moment: a newer item may arrive between two readings.
FleetView currentView(const FleetState&);

// Position up to which all items are known to this process.
StorePosition knownPosition(const FleetState&);

// Up to when all items are known, and who reported it; nullopt before the first contact.
std::optional<Completeness> completeness(const FleetState&);

// Whether an item that was published longer than `maximumAge` ago may still be unknown to this process.
bool mayBeOutdated(const FleetState&, std::chrono::milliseconds maximumAge, Base::TimePoint now);

// Whether an item that was published longer than `maximumAge` ago may be missing in what was complete up to that time.
bool mayBeOutdated(const std::optional<Completeness>&, std::chrono::milliseconds maximumAge, Base::TimePoint now);

// Returns the items that are newer than the position, including deletions.
std::vector<PublishedItem> itemsAfter(const FleetState&, StorePosition, Base::TimePoint now);

// The key's value as of the position, which is the present or the previous one; null if it is not known any more.
std::shared_ptr<const FleetState::PreviousValue> valueAsOf(const FleetState&, const std::string& key, StorePosition);

// Whether deletions after the position may be missing among these items, because the process only listed what the store
// had at a later one, or has forgotten them.
bool mayMissDeletions(const FleetState&, StorePosition);

// Returns the declarations whose times this process knows exactly and which are not older than `maximumAge`.
std::vector<ObservedDeclaration> observedDeclarations(const FleetState&, std::chrono::milliseconds maximumAge, Base::TimePoint now);

// Returns the host's route with the longest matching path prefix, or null.
std::shared_ptr<const Route> matchRoute(const Configuration&, std::string_view host, std::string_view path);

// Returns the organisation that the API key belongs to, or null.
std::shared_ptr<const Organisation> findOrganisation(const Configuration&, const std::string& key);

} // namespace Lavenderloft::Fleet::Queries
