#pragma once

#include "Fleet/FleetState.h"

#include <string>
#include <vector>

namespace Lavenderloft::Fleet::Commands {

// What a call to applyItems changed.
struct AppliedChange {
    bool anything = false;
    // Set when another configuration came into force.
    std::shared_ptr<const Configuration> configuration;
    std::vector<std::string> unreadable;
};

// Merges items into the state and publishes a new snapshot if anything changed. `revision` is the
// revision up to which the source has told everything. Deletions of targets take
// effect only at `deferDeletionsUntil`, if it is set: entries that lapsed while the store was away may come
// back until then.
AppliedChange applyItems(FleetState&, const PublicationDecoder&, std::vector<PublishedItem>, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, Base::TimePoint now);

// Deletes the keys below the prefix that a complete listing as of `revision` did not name.
AppliedChange applyListing(FleetState&, const PublicationDecoder&, const std::string& prefix, const std::vector<std::string>& listedKeys, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, Base::TimePoint now);

// Puts deferred deletions into effect that are due, and forgets old ones.
void expireDeletions(FleetState&, Base::TimePoint now);

} // namespace Lavenderloft::Fleet::Commands
