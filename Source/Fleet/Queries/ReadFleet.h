#pragma once

#include "Fleet/FleetState.h"

#include <memory>
#include <string_view>
#include <vector>

namespace Lavenderloft::Fleet::Queries {

std::shared_ptr<const FleetSnapshot> currentSnapshot(const FleetState&);

// Revision up to which this process has heard everything.
uint64_t knownRevision(const FleetState&);

// The items, deletions included, that are newer than the revision.
std::vector<PublishedItem> itemsAfter(const FleetState&, uint64_t revision, Base::TimePoint now);

// The route with the longest prefix of the path among those of the host; null if there is none.
std::shared_ptr<const Route> matchRoute(const Configuration&, std::string_view host, std::string_view path);

// The organisation that holds the key; null if none does.
std::shared_ptr<const Organisation> findOrganisation(const Configuration&, const std::string& key);

} // namespace Lavenderloft::Fleet::Queries
