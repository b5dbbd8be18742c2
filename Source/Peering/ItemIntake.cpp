#include "Peering/ItemIntake.h"

#include "Observability/Log.h"
#include "Peering/Events.h"

namespace Lavenderloft::Peering {

ItemIntake::ItemIntake(Fleet::FleetState& fleet, const Fleet::PublicationDecoder& decoder, const Base::Clock& clock)
    : m_fleet(fleet)
    , m_decoder(decoder)
    , m_clock(clock)
{
}

void ItemIntake::apply(std::vector<Fleet::PublishedItem> items, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source)
{
    report(Fleet::Commands::applyItems(m_fleet, m_decoder, std::move(items), revision, deferDeletionsUntil, m_clock.now()), revision, source);
}

void ItemIntake::applyListing(const std::string& prefix, const std::vector<std::string>& keys, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil)
{
    report(Fleet::Commands::applyListing(m_fleet, m_decoder, prefix, keys, revision, deferDeletionsUntil, m_clock.now()), revision, "store_listing");
}

void ItemIntake::report(const Fleet::Commands::AppliedChange& change, uint64_t revision, std::string_view source)
{
    for (auto& problem : change.unreadable)
        Observability::logEvent(Events::itemUnreadable, { { "item", problem }, { "source", source } });
    if (change.configuration)
        Observability::logEvent(Events::configurationInForce, { { "version", change.configuration->version }, { "revision", revision }, { "source", source } });
    if (change.anything)
        Observability::logEvent(Events::itemsApplied, { { "revision", revision }, { "source", source } });
}

} // namespace Lavenderloft::Peering
