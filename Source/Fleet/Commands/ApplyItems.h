#pragma once

#include "Fleet/FleetState.h"

#include <string>
#include <vector>

namespace Lavenderloft::Fleet::Commands {

// A declaration that became known, or whose time became known more accurately.
struct LearnedDeclaration {
    std::string model;
    DeclaredWeights declared;
    // Not published by itself: it is assumed to have been declared before a later version.
    bool isAssumed = false;
};

// The changes made by applyItems or applyListing.
struct AppliedChange {
    bool anything = false;
    // The new configuration, if it changed.
    std::shared_ptr<const Configuration> configuration;
    // Key and reason of each item that could not be decoded.
    std::vector<std::string> unreadable;
    std::vector<LearnedDeclaration> declarations;
    // Keys of the items that stay in force although an older copy of the store shows an earlier version.
    std::vector<std::string> retained;
};

// How a batch of items was received.
struct ItemBatchOrigin {
    // The items are complete up to this position.
    StorePosition position;
    // If set, deletions of targets take effect only then, because entries that expired during an outage of the store may
    // be published again.
    std::optional<Base::TimePoint> deferDeletionsUntil;
    // Upper bound for the age of items that are not known yet. Says nothing about the age of an item that is known.
    std::chrono::milliseconds maximumNewItemAge = FleetState::unknownAge;
};

// Merges items into the state and publishes a new snapshot if anything changed.
AppliedChange applyItems(FleetState&, const PublicationDecoder&, std::vector<PublishedItem>, const ItemBatchOrigin&, Base::TimePoint now);

// Merges declarations that another node observed, with their exact ages, into those that are published.
AppliedChange applyObservedDeclarations(FleetState&, const std::vector<ObservedDeclaration>&, Base::TimePoint now);

// Deletes the keys below the prefix that are missing in a complete listing as of the position. The listed items have to be
// applied before.
AppliedChange applyListing(FleetState&, const PublicationDecoder&, const std::string& prefix, const std::vector<std::string>& listedKeys, StorePosition, const std::optional<Base::TimePoint>& deferDeletionsUntil, Base::TimePoint now);

// Records that all items published up to a time have been applied. An earlier time than the known one is ignored.
void recordCompleteness(FleetState&, Completeness);

// Applies deferred deletions that are due, and discards deleted keys and previous values after their retention.
void expireDeletions(FleetState&, Base::TimePoint now);

} // namespace Lavenderloft::Fleet::Commands
