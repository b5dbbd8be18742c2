#pragma once

#include "Base/Clock.h"
#include "Fleet/Commands/ApplyItems.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Peering {

// Merges items from the store and from peers into the fleet state, logs the changes, and tracks up to which time all
// published items are known, from which the age of items is estimated.
class ItemMerger {
public:
    ItemMerger(Fleet::FleetState&, const Fleet::PublicationDecoder&, const Base::Clock&);

    // Merges items of the store or of a peer. Ages that are only upper bounds are limited by maximumNewItemAge() for
    // items that this node did not know. Returns the declarations among the items whose times are new and not exact.
    std::vector<Fleet::ObservedDeclaration> apply(std::vector<Fleet::PublishedItem>, Fleet::StorePosition, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source);
    void applyListing(const std::string& prefix, const std::vector<std::string>& keys, Fleet::StorePosition, const std::optional<Base::TimePoint>& deferDeletionsUntil);

    // Merges declarations that another node observed.
    void applyObserved(const std::vector<Fleet::ObservedDeclaration>&, std::string_view source);

    // Records that all items published up to the given time are known from the store, directly or through the named node.
    void recordSync(Base::TimePoint, std::string_view source);

    // Records that the store did not respond, or rejected a request. While the store is down nothing is published; if
    // it only rejects this node, other nodes relay new items together with their age.
    void recordStoreFailure(Base::TimePoint);

    // Records that all items of a peer without contact to the store were fetched: no others had been published when
    // this node's last request to the store failed.
    void recordSyncAsOfStoreFailure();

    // Whether a router that follows the store has recently relayed all published items to this node.
    bool hasRecentRelayedSync() const;

    // Upper bound for the age of an item that this node did not know before: it was published after the last sync.
    std::chrono::milliseconds maximumNewItemAge() const;

    // Records that a router relayed all items that it had received from the store up to the given time. A report from
    // another region may have waited on the link between the regions, so that its time is too recent: it neither limits the
    // ages of items nor makes them complete.
    void recordRelayedSync(Base::TimePoint, bool isFromOwnRegion, std::string_view source);

    // Whether what the source says of the store can be true: one wrong era would make all later items look outdated.
    bool isPlausible(Fleet::StorePosition, std::string_view source) const;

    Fleet::FleetState& fleet() { return m_fleet; }

private:
    void extendSync(Base::TimePoint);
    void logChange(const Fleet::Commands::AppliedChange&, Fleet::StorePosition, std::string_view source);

    Fleet::FleetState& m_fleet;
    const Fleet::PublicationDecoder& m_decoder;
    const Base::Clock& m_clock;
    std::optional<Base::TimePoint> m_syncedAt;
    std::optional<Base::TimePoint> m_relayedSyncAt;
    std::optional<Base::TimePoint> m_storeFailedAt;
};

} // namespace Lavenderloft::Peering
