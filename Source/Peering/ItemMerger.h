#pragma once

#include "Base/Clock.h"
#include "Fleet/Commands/ApplyItems.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Peering {

// Merges items from the store and from peers into the fleet's state and logs what came into force.
class ItemMerger {
public:
    ItemMerger(Fleet::FleetState&, const Fleet::PublicationDecoder&, const Base::Clock&);

    void apply(std::vector<Fleet::PublishedItem>, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source);
    void applyListing(const std::string& prefix, const std::vector<std::string>& keys, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil);

    // Everything that was published up to this time is known here.
    void noteComplete(Base::TimePoint);

    // The store did not answer, or turned this node away. While it is away nothing is published; what it tells
    // others meanwhile comes from them with its age.
    void noteStoreFailure(Base::TimePoint);

    // A node that has no contact with the store either told all that it knows: nothing else was published before
    // this node's last call to the store failed.
    void noteCompleteAsOfFailure();

    // Whether a router that follows the store told this node lately all that is published.
    bool wasToldLately() const;

    // Longest time since the publication of something that is seen only now.
    std::chrono::milliseconds longestAge() const;

    // A router that follows the store had been told everything by then, and told this node.
    void noteTold(Base::TimePoint);

    // Items from another node, which may not know their age either.
    void applyFromPeer(std::vector<Fleet::PublishedItem>, uint64_t revision, std::string_view source);

    Fleet::FleetState& fleet() { return m_fleet; }

private:
    void report(const Fleet::Commands::AppliedChange&, uint64_t revision, std::string_view source);

    Fleet::FleetState& m_fleet;
    const Fleet::PublicationDecoder& m_decoder;
    const Base::Clock& m_clock;
    std::optional<Base::TimePoint> m_completeAt;
    std::optional<Base::TimePoint> m_toldAt;
    std::optional<Base::TimePoint> m_storeFailedAt;
};

} // namespace Lavenderloft::Peering
