#pragma once

#include "Base/Clock.h"
#include "Fleet/NodeSettings.h"
#include "Peering/ItemMerger.h"
#include "Peering/PeerTable.h"
#include "Peering/PeeringCodec.h"

#include <cstdint>
#include <optional>
#include <set>

namespace Lavenderloft::Peering {

// A request for the items of another router.
struct ItemFetch {
    // As it was known when the request was sent.
    PeerRouter router;
    // The items after this position were requested; all items if it is zero.
    Fleet::StorePosition after;
    Base::TimePoint requestedAt;
};

// Decides which router this node asks for published items that it misses, and merges its response. Sends nothing itself.
// Used on one event loop.
class ItemReceiver {
public:
    ItemReceiver(const Fleet::NodeSettings&, PeerTable&, ItemMerger&, const Base::Clock&);

    // Returns the request to send next; nullopt if no router is ahead of this node.
    std::optional<ItemFetch> nextFetch() const;

    // Decides what follows if the router may lack deletions after the requested position. Returns the request for all items
    // of the router, or nullopt if another router is asked first.
    std::optional<ItemFetch> fetchAfterHistoryLost(const ItemFetch&);

    // Restores the packed values of the response and merges its items. Returns false, and merges nothing, if a value that a
    // packed one is based on is not known here, or if the positions are not plausible.
    bool merge(const ItemFetch&, ItemBatch);

    // Records that the request has ended. Another router is asked next if it failed.
    void recordEnd(const ItemFetch&, bool isMerged);

    // Whether the position is newer than that up to which this node has all items.
    bool isBehind(Fleet::StorePosition position) const { return position > completePosition(); }

    // Whether a router with that position and digest of what it retains may keep versions in force that this node does not have.
    bool mayLackRetained(Fleet::StorePosition, uint64_t retainedDigest) const;

    // Whether all items were fetched from another router once, with the age of each. Items listed from the store have no
    // age.
    bool hasFetchedAll() const { return m_hasFetchedAll; }

    // Notes whether another router has a newer position, and what this node retains.
    void updateLag();

    // Whether this node has been behind other routers for longer than a fetch takes.
    bool isLagging() const;

private:
    std::optional<PeerRouter> routerToFetchFrom() const;
    std::optional<PeerRouter> routerThatRetainsMore() const;
    uint64_t ownRetainedDigest() const;
    void recordRetained(uint64_t digest);
    // Position after which items are missing.
    Fleet::StorePosition completePosition() const;
    void recordSync(const ItemFetch&, Fleet::StorePosition, bool isFirst);

    const Fleet::NodeSettings& m_settings;
    PeerTable& m_peers;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    bool m_hasFetchedAll = false;
    // Era of the store in which m_knownRetained was collected.
    uint64_t m_retainedEra = 0;
    // Digests of what this node retains or has retained, and of what the routers retained whose items it has merged.
    std::set<uint64_t> m_knownRetained;
    // Since when another router has had a newer position.
    std::optional<Base::TimePoint> m_laggingSince;
};

} // namespace Lavenderloft::Peering
