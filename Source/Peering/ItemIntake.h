#pragma once

#include "Base/Clock.h"
#include "Fleet/Commands/ApplyItems.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Peering {

// Merges items from the store and from peers into the fleet's state and logs what came into force.
class ItemIntake {
public:
    ItemIntake(Fleet::FleetState&, const Fleet::PublicationDecoder&, const Base::Clock&);

    void apply(std::vector<Fleet::PublishedItem>, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source);
    void applyListing(const std::string& prefix, const std::vector<std::string>& keys, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil);

    Fleet::FleetState& fleet() { return m_fleet; }

private:
    void report(const Fleet::Commands::AppliedChange&, uint64_t revision, std::string_view source);

    Fleet::FleetState& m_fleet;
    const Fleet::PublicationDecoder& m_decoder;
    const Base::Clock& m_clock;
};

} // namespace Lavenderloft::Peering
