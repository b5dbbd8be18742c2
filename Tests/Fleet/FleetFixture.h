#pragma once

#include "Base/ManualClock.h"
#include "Fleet/Commands/ApplyItems.h"
#include "Fleet/Queries/ReadFleet.h"

#include <map>
#include <string>

namespace Lavenderloft::Fleet {

// Decodes items by looking them up in a table that the test fills. Other items decode as Unrelated.
class TableDecoder final : public PublicationDecoder {
public:
    std::map<std::string, Publication> publications;

    Publication decode(const PublishedItem& item) const override
    {
        auto found = publications.find(item.key + "=" + item.value);
        return found == publications.end() ? Publication(Unrelated {}) : found->second;
    }

    bool isTargetKey(std::string_view key) const override { return key.starts_with("t/"); }
};

// A fleet state to which the test publishes items one by one.
struct TestFleetState {
    Base::ManualClock clock;
    TableDecoder decoder;
    FleetState state;
    uint64_t revision = 0;

    void publish(const std::string& key, Publication publication, std::chrono::milliseconds age = std::chrono::milliseconds(0), bool ageIsBound = false)
    {
        ++revision;
        auto value = std::to_string(revision);
        decoder.publications[key + "=" + value] = std::move(publication);
        apply({ key, value, revision, false, age, ageIsBound });
    }

    // Publishes under a value of its own.
    void publishAt(const std::string& key, Publication publication, StorePosition position)
    {
        auto value = "at " + std::to_string(position.era) + "." + std::to_string(position.revision);
        decoder.publications[key + "=" + value] = std::move(publication);
        apply({ key, value, position, false, {} });
    }

    void remove(const std::string& key, const std::optional<Base::TimePoint>& deferredUntil = std::nullopt)
    {
        ++revision;
        Commands::applyItems(state, decoder, { { key, "", revision, true, {} } }, { revision, deferredUntil }, clock.now());
    }

    Commands::AppliedChange apply(PublishedItem item)
    {
        auto position = item.position;
        return Commands::applyItems(state, decoder, { std::move(item) }, { position, std::nullopt }, clock.now());
    }

    std::shared_ptr<const FleetSnapshot> snapshot() const { return Queries::currentSnapshot(state); }

    size_t targetCount(const std::string& service) const
    {
        auto found = snapshot()->targetsByService.find(service);
        return found == snapshot()->targetsByService.end() ? 0 : found->second.size();
    }
};

inline TargetPublished targetOf(const std::string& id, const std::string& service, const std::string& dataCentre = "dc-a", unsigned slots = 4)
{
    TargetEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = { "127.0.0.1", 1 };
    entry.dataCentre = dataCentre;
    entry.slots = slots;
    return { entry };
}

inline ConfigurationPublished configurationOf(uint64_t version, std::vector<Service> services = {})
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    for (auto& service : services)
        configuration->services[service.name] = service;
    return { configuration };
}

} // namespace Lavenderloft::Fleet
