#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>

namespace Lavenderloft::Fleet::Queries {

std::shared_ptr<const FleetSnapshot> currentSnapshot(const FleetState& state)
{
    return state.withContents([](const FleetState::Contents& contents) { return contents.snapshot; });
}

FleetView currentView(const FleetState& state)
{
    return state.withContents([](const FleetState::Contents& contents) { return FleetView { contents.snapshot, contents.completeness }; });
}

StorePosition knownPosition(const FleetState& state)
{
    return state.withContents([](const FleetState::Contents& contents) { return contents.position; });
}

std::optional<Completeness> completeness(const FleetState& state)
{
    return state.withContents([](const FleetState::Contents& contents) { return contents.completeness; });
}

bool mayBeOutdated(const FleetState& state, std::chrono::milliseconds maximumAge, Base::TimePoint now)
{
    return mayBeOutdated(completeness(state), maximumAge, now);
}

bool mayBeOutdated(const std::optional<Completeness>& known, std::chrono::milliseconds maximumAge, Base::TimePoint now)
{
    return !known || now - known->asOf > maximumAge;
}

namespace {

    std::chrono::milliseconds remainingDeletionDelay(const FleetState::Record& record, Base::TimePoint now)
    {
        if (!record.deletionDueAt || *record.deletionDueAt <= now)
            return std::chrono::milliseconds(0);
        return std::chrono::ceil<std::chrono::milliseconds>(*record.deletionDueAt - now);
    }

    // Returns the declaration of the record with its time, or null if the record is not a declaration.
    const DeclaredWeights* findDeclaration(const FleetState::Contents& contents, const FleetState::Record& record)
    {
        auto* declared = std::get_if<WeightsDeclared>(&record.publication);
        if (!declared)
            return nullptr;
        auto history = contents.declaredWeights.find(declared->model);
        if (history == contents.declaredWeights.end())
            return nullptr;
        for (auto& known : history->second) {
            if (known.version == declared->version)
                return &known;
        }
        return nullptr;
    }

} // namespace

std::vector<PublishedItem> itemsAfter(const FleetState& state, StorePosition position, Base::TimePoint now)
{
    return state.withContents([&](const FleetState::Contents& contents) {
        std::vector<PublishedItem> items;
        for (auto& [key, record] : contents.records) {
            if (record.item.position <= position)
                continue;
            items.push_back(record.item);
            auto* declaration = findDeclaration(contents, record);
            auto publishedAt = declaration ? declaration->publishedAt : record.learnedAt;
            items.back().age = std::chrono::duration_cast<std::chrono::milliseconds>(now - publishedAt);
            items.back().ageIsBound = declaration && declaration->publishedAtIsLowerBound;
            items.back().deletionDelay = remainingDeletionDelay(record, now);
        }
        return items;
    });
}

std::shared_ptr<const FleetState::PreviousValue> valueAsOf(const FleetState& state, const std::string& key, StorePosition position)
{
    return state.withContents([&](const FleetState::Contents& contents) -> std::shared_ptr<const FleetState::PreviousValue> {
        auto found = contents.records.find(key);
        if (found == contents.records.end())
            return nullptr;
        auto& record = found->second;
        if (record.item.position <= position)
            return std::make_shared<const FleetState::PreviousValue>(FleetState::PreviousValue { record.item.value, record.item.position });
        return record.previous && record.previous->position <= position ? record.previous : nullptr;
    });
}

bool mayMissDeletions(const FleetState& state, StorePosition position)
{
    return state.withContents([&](const FleetState::Contents& contents) {
        if (position < contents.forgottenDeletions)
            return true;
        return std::any_of(contents.listedPositions.begin(), contents.listedPositions.end(), [&](auto& listed) { return position < listed.second; });
    });
}

std::vector<ObservedDeclaration> observedDeclarations(const FleetState& state, std::chrono::milliseconds maximumAge, Base::TimePoint now)
{
    std::vector<ObservedDeclaration> observed;
    auto snapshot = currentSnapshot(state);
    for (auto& [model, history] : snapshot->weights) {
        for (auto& declared : history) {
            auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - declared.publishedAt);
            if (!declared.publishedAtIsLowerBound && age <= maximumAge)
                observed.push_back({ model, declared.version, age });
        }
    }
    return observed;
}

std::shared_ptr<const Route> matchRoute(const Configuration& configuration, std::string_view host, std::string_view path)
{
    auto routes = configuration.routes.find(std::string(host));
    if (routes == configuration.routes.end())
        return nullptr;
    for (auto& route : routes->second) {
        if (path.starts_with(route->prefix))
            return route;
    }
    return nullptr;
}

std::shared_ptr<const Organisation> findOrganisation(const Configuration& configuration, const std::string& key)
{
    auto found = configuration.organisationsByKey.find(key);
    return found == configuration.organisationsByKey.end() ? nullptr : found->second;
}

} // namespace Lavenderloft::Fleet::Queries
