#include "Peering/ItemMerger.h"

#include "Observability/Log.h"
#include "Peering/Events.h"

#include <algorithm>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    // Assumed for what stood in the store before this process started.
    constexpr std::chrono::milliseconds unknownAge = 1h;
    // Followers of the store hear from it at least this often, also when nothing changes.
    constexpr std::chrono::milliseconds lately = 2500ms;

} // namespace

ItemMerger::ItemMerger(Fleet::FleetState& fleet, const Fleet::PublicationDecoder& decoder, const Base::Clock& clock)
    : m_fleet(fleet)
    , m_decoder(decoder)
    , m_clock(clock)
{
}

void ItemMerger::apply(std::vector<Fleet::PublishedItem> items, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil, std::string_view source)
{
    report(Fleet::Commands::applyItems(m_fleet, m_decoder, std::move(items), revision, deferDeletionsUntil, m_clock.now()), revision, source);
}

void ItemMerger::applyListing(const std::string& prefix, const std::vector<std::string>& keys, uint64_t revision, const std::optional<Base::TimePoint>& deferDeletionsUntil)
{
    report(Fleet::Commands::applyListing(m_fleet, m_decoder, prefix, keys, revision, deferDeletionsUntil, m_clock.now()), revision, "store_listing");
}

void ItemMerger::noteComplete(Base::TimePoint time)
{
    m_completeAt = std::max(time, m_completeAt.value_or(time));
}

void ItemMerger::noteTold(Base::TimePoint time)
{
    m_toldAt = std::max(time, m_toldAt.value_or(time));
    noteComplete(time);
}

bool ItemMerger::wasToldLately() const
{
    return m_toldAt && m_clock.now() - *m_toldAt < lately;
}

void ItemMerger::noteStoreFailure(Base::TimePoint time)
{
    m_storeFailedAt = time;
}

void ItemMerger::noteCompleteAsOfFailure()
{
    if (m_storeFailedAt)
        noteComplete(*m_storeFailedAt);
}

std::chrono::milliseconds ItemMerger::longestAge() const
{
    if (!m_completeAt)
        return unknownAge;
    auto since = std::max(*m_completeAt, m_storeFailedAt.value_or(*m_completeAt));
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - since);
}

void ItemMerger::applyFromPeer(std::vector<Fleet::PublishedItem> items, uint64_t revision, std::string_view source)
{
    for (auto& item : items) {
        if (item.ageIsBound)
            item.age = std::min(item.age, longestAge());
    }
    apply(std::move(items), revision, std::nullopt, source);
}

void ItemMerger::report(const Fleet::Commands::AppliedChange& change, uint64_t revision, std::string_view source)
{
    for (auto& problem : change.unreadable)
        Observability::logEvent(Events::itemUnreadable, { { "item", problem }, { "source", source } });
    if (change.configuration)
        Observability::logEvent(Events::configurationInForce, { { "version", change.configuration->version }, { "revision", revision }, { "source", source } });
    if (change.anything)
        Observability::logEvent(Events::itemsApplied, { { "revision", revision }, { "source", source } });
}

} // namespace Lavenderloft::Peering
