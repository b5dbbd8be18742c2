#include "Peering/ItemMerger.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Observability/Log.h"
#include "Peering/Events.h"

#include <algorithm>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    // Store followers receive a response at least this often, even without changes.
    constexpr std::chrono::milliseconds relayedSyncLifetime = 2500ms;

} // namespace

ItemMerger::ItemMerger(Fleet::FleetState& fleet, const Fleet::PublicationDecoder& decoder, const Base::Clock& clock)
    : m_fleet(fleet)
    , m_decoder(decoder)
    , m_clock(clock)
{
}

std::vector<Fleet::ObservedDeclaration> ItemMerger::apply(std::vector<Fleet::PublishedItem> items, Fleet::StorePosition position, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source)
{
    Fleet::Commands::ItemBatchOrigin origin { position, deferDeletionsUntil, maximumNewItemAge() };
    auto change = Fleet::Commands::applyItems(m_fleet, m_decoder, std::move(items), origin, m_clock.now());
    logChange(change, position, source);
    std::vector<Fleet::ObservedDeclaration> inexact;
    for (auto& learned : change.declarations) {
        if (learned.declared.publishedAtIsLowerBound && !learned.isAssumed)
            inexact.push_back({ learned.model, learned.declared.version, {} });
    }
    return inexact;
}

void ItemMerger::applyListing(const std::string& prefix, const std::vector<std::string>& keys, Fleet::StorePosition position, const std::optional<Base::TimePoint>& deferDeletionsUntil)
{
    logChange(Fleet::Commands::applyListing(m_fleet, m_decoder, prefix, keys, position, deferDeletionsUntil, m_clock.now()), position, "store_listing");
}

void ItemMerger::applyObserved(const std::vector<Fleet::ObservedDeclaration>& declarations, std::string_view source)
{
    logChange(Fleet::Commands::applyObservedDeclarations(m_fleet, declarations, m_clock.now()), Fleet::Queries::knownPosition(m_fleet), source);
}

void ItemMerger::recordSync(Base::TimePoint time, std::string_view source)
{
    extendSync(time);
    Fleet::Commands::recordCompleteness(m_fleet, { time, std::string(source) });
}

void ItemMerger::extendSync(Base::TimePoint time)
{
    m_syncedAt = std::max(time, m_syncedAt.value_or(time));
}

void ItemMerger::recordRelayedSync(Base::TimePoint time, bool isFromOwnRegion, std::string_view source)
{
    m_relayedSyncAt = std::max(time, m_relayedSyncAt.value_or(time));
    if (isFromOwnRegion)
        recordSync(time, source);
}

bool ItemMerger::hasRecentRelayedSync() const
{
    return m_relayedSyncAt && m_clock.now() - *m_relayedSyncAt < relayedSyncLifetime;
}

void ItemMerger::recordStoreFailure(Base::TimePoint time)
{
    m_storeFailedAt = time;
}

// The peer may be behind, so this limits the ages of items but does not make the items complete.
void ItemMerger::recordSyncAsOfStoreFailure()
{
    if (m_storeFailedAt)
        extendSync(*m_storeFailedAt);
}

std::chrono::milliseconds ItemMerger::maximumNewItemAge() const
{
    if (!m_syncedAt)
        return Fleet::FleetState::unknownAge;
    auto since = std::max(*m_syncedAt, m_storeFailedAt.value_or(*m_syncedAt));
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - since);
}

bool ItemMerger::isPlausible(Fleet::StorePosition position, std::string_view source) const
{
    auto known = Fleet::Queries::knownPosition(m_fleet);
    if (known.mayPrecede(position))
        return true;
    Observability::logEvent(Events::implausibleEraIgnored, { { "source", source }, { "era", position.era }, { "known_era", known.era } });
    return false;
}

void ItemMerger::logChange(const Fleet::Commands::AppliedChange& change, Fleet::StorePosition position, std::string_view source)
{
    for (auto& problem : change.unreadable)
        Observability::logEvent(Events::itemUnreadable, { { "item", problem }, { "source", source } });
    for (auto& key : change.retained)
        Observability::logEvent(Events::itemRetained, { { "item", key }, { "era", position.era }, { "source", source } });
    if (change.configuration)
        Observability::logEvent(Events::configurationInForce, { { "version", change.configuration->version }, { "era", position.era }, { "revision", position.revision }, { "source", source } });
    for (auto& learned : change.declarations) {
        auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - learned.declared.publishedAt);
        Observability::logEvent(Events::declarationLearned, { { "model", learned.model }, { "version", learned.declared.version }, { "age", age }, { "age_is_bound", learned.declared.publishedAtIsLowerBound }, { "era", position.era }, { "revision", position.revision }, { "source", source } });
    }
    if (change.anything)
        Observability::logEvent(Events::itemsApplied, { { "era", position.era }, { "revision", position.revision }, { "source", source } });
}

} // namespace Lavenderloft::Peering
