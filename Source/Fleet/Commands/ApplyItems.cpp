#include "Fleet/Commands/ApplyItems.h"

#include "Fleet/Commands/RecordDeclaration.h"
#include "Fleet/Queries/FindRetained.h"

#include <algorithm>
#include <unordered_set>

namespace Lavenderloft::Fleet::Commands {

namespace {

    using Contents = FleetState::Contents;
    using Record = FleetState::Record;

    class SnapshotBuilder {
    public:
        explicit SnapshotBuilder(FleetSnapshot& snapshot)
            : m_snapshot(snapshot)
        {
        }

        void add(const Record& record)
        {
            m_record = &record;
            std::visit(*this, record.publication);
        }

        void operator()(const Unrelated&) { }
        void operator()(const Unreadable&) { }
        void operator()(const ConfigurationPublished& published) { m_snapshot.configuration = published.configuration; }
        void operator()(const DataCentreEvacuated& evacuation) { m_snapshot.evacuatedDataCentres.insert(evacuation.dataCentre); }

        void operator()(const TargetPublished& published)
        {
            auto target = std::make_shared<const KnownTarget>(KnownTarget { published.entry, m_record->learnedAt });
            m_snapshot.targetsByService[published.entry.service].push_back(std::move(target));
        }

        // Taken from Contents::declaredWeights, which also has earlier declarations.
        void operator()(const WeightsDeclared&) { }

    private:
        FleetSnapshot& m_snapshot;
        const Record* m_record = nullptr;
    };

    void publishSnapshot(Contents& contents)
    {
        auto snapshot = std::make_shared<FleetSnapshot>();
        snapshot->position = contents.position;
        snapshot->weights = contents.declaredWeights;
        SnapshotBuilder builder(*snapshot);
        for (auto& [key, record] : contents.records) {
            if (!record.item.deleted || record.deletionDueAt)
                builder.add(record);
            snapshot->retainedDigest ^= Queries::digestOfRetained(record, contents.position);
        }
        contents.snapshot = std::move(snapshot);
    }

    // Until when deletions do not take effect.
    struct DeletionDelays {
        std::optional<Base::TimePoint> targetsUntil;
        std::optional<Base::TimePoint> evacuationsUntil;
    };

    std::optional<Base::TimePoint> delayOf(const Record& record, const PublicationDecoder& decoder, const DeletionDelays& delays)
    {
        if (record.item.deleted && !record.deletionDueAt)
            return std::nullopt;
        auto* target = std::get_if<TargetPublished>(&record.publication);
        bool mayReturn = target && !target->entry.draining && decoder.isTargetKey(record.item.key);
        std::optional<Base::TimePoint> until;
        if (std::holds_alternative<DataCentreEvacuated>(record.publication))
            until = delays.evacuationsUntil;
        else if (mayReturn)
            until = delays.targetsUntil;
        // Each node that listed the store relays a deletion of its own. The later ones don't prolong the delay.
        return until && record.deletionDueAt ? std::min(*until, *record.deletionDueAt) : until;
    }

    void removeRecord(Record& record, const PublicationDecoder& decoder, StorePosition position, const DeletionDelays& delays, Base::TimePoint now)
    {
        auto delayedUntil = delayOf(record, decoder, delays);
        if (auto* target = std::get_if<TargetPublished>(&record.publication))
            record.endedIncarnation = target->entry.startedAt;
        record.item.position = position;
        record.item.deleted = true;
        record.item.value.clear();
        record.learnedAt = now;
        record.retained.reset();
        record.deletionDueAt = delayedUntil;
        if (!delayedUntil)
            record.publication = Unrelated {};
    }

    void recordDeclared(Contents& contents, const WeightsDeclared& declared, const PublishedItem& item, const ItemBatchOrigin& origin, Base::TimePoint now, AppliedChange& change)
    {
        DeclaredWeights received { declared.version, now - item.age, item.ageIsBound };
        auto changed = recordDeclaration(contents.declaredWeights[declared.model], received, now - origin.maximumNewItemAge);
        for (auto& entry : changed)
            change.declarations.push_back({ declared.model, entry, entry.version != declared.version });
    }

    // Refines the time of a declaration from another copy of the same item. Returns whether the item is a declaration.
    bool refineDeclaration(Contents& contents, const Record& record, const PublishedItem& item, const ItemBatchOrigin& origin, Base::TimePoint now, AppliedChange& change)
    {
        auto* declared = std::get_if<WeightsDeclared>(&record.publication);
        bool isSame = record.item.position == item.position && record.item.value == item.value;
        if (!declared || !isSame)
            return false;
        recordDeclared(contents, *declared, item, origin, now, change);
        return true;
    }

    // Whether the item repeats a declaration that the record has. A bound of its age says when it was written again, not when
    // the version was declared.
    bool repeatsDeclaration(const Record& record, const WeightsDeclared& declared, const PublishedItem& item)
    {
        auto* known = std::get_if<WeightsDeclared>(&record.publication);
        return known && known->model == declared.model && known->version == declared.version && item.ageIsBound;
    }

    // An operator's item that this process can't decode is kept, because a newer program among the peers may.
    bool isUnused(const Publication& publication, const std::string& key, const PublicationDecoder& decoder)
    {
        if (std::holds_alternative<Unrelated>(publication))
            return true;
        return std::holds_alternative<Unreadable>(publication) && decoder.isTargetKey(key);
    }

    // Whether a listing that is at least as recent as the item lacks it. Items of peers may be older than the listing.
    bool isMissingInListing(const Contents& contents, const PublishedItem& item)
    {
        return std::any_of(contents.listedPositions.begin(), contents.listedPositions.end(), [&](auto& listed) {
            return item.key.starts_with(listed.first) && item.position <= listed.second;
        });
    }

    Queries::WriteTime writeTimeOf(const Contents& contents, const PublishedItem& item)
    {
        bool isAfterListing = std::any_of(contents.listedPositions.begin(), contents.listedPositions.end(), [&](auto& listed) {
            return item.key.starts_with(listed.first) && item.position.era == listed.second.era && item.position > listed.second;
        });
        return isAfterListing ? Queries::WriteTime::AfterListing : Queries::WriteTime::Unknown;
    }

    std::shared_ptr<const FleetState::PreviousValue> takePreviousValue(PublishedItem& replaced)
    {
        if (replaced.value.size() < FleetState::minimumPreviousValueBytes)
            return nullptr;
        return std::make_shared<const FleetState::PreviousValue>(FleetState::PreviousValue { std::move(replaced.value), replaced.position });
    }

    // Takes over the higher version that another node retains, while this one knows only what the copy shows at the same
    // position. Returns whether it did.
    bool adoptRetained(Contents& contents, const PublicationDecoder& decoder, Record& record, PublishedItem& item, const ItemBatchOrigin& origin, Base::TimePoint now, AppliedChange& change)
    {
        bool mayDiffer = item.position.era > 0 && item.position == record.item.position && !item.deleted && !record.item.deleted;
        if (!mayDiffer || item.value == record.item.value)
            return false;
        auto publication = decoder.decode(item);
        if (!Queries::isHigherVersion(publication, record.publication))
            return false;
        change.retained.push_back(item.key);
        record.retained = FleetState::Retained { std::move(record.publication), std::nullopt };
        record.publication = std::move(publication);
        record.item.value = std::move(item.value);
        record.learnedAt = now;
        if (auto* published = std::get_if<ConfigurationPublished>(&record.publication))
            change.configuration = published->configuration;
        if (auto* declared = std::get_if<WeightsDeclared>(&record.publication))
            recordDeclared(contents, *declared, item, origin, now, change);
        return true;
    }

    void mergeItem(Contents& contents, const PublicationDecoder& decoder, PublishedItem item, const ItemBatchOrigin& origin, Base::TimePoint now, AppliedChange& change)
    {
        auto known = contents.records.find(item.key);
        if (known != contents.records.end() && known->second.item.position >= item.position) {
            change.anything |= refineDeclaration(contents, known->second, item, origin, now, change);
            change.anything |= adoptRetained(contents, decoder, known->second, item, origin, now, change);
            return;
        }
        // A deletion that is older than the listing does not show that the key was missing in it.
        bool isPresent = known != contents.records.end() && !known->second.item.deleted;
        bool isMissing = !isPresent && !item.deleted && isMissingInListing(contents, item);
        if (isMissing && !Queries::isRetainedElsewhere(item, decoder.decode(item), origin.position))
            return;
        change.anything = true;
        if (item.ageIsBound)
            item.age = std::min(item.age, origin.maximumNewItemAge);
        if (item.deleted) {
            auto& record = contents.records[item.key];
            record.item.key = item.key;
            DeletionDelays delays { origin.deferDeletionsUntil, std::nullopt };
            if (item.deletionDelay > std::chrono::milliseconds(0))
                delays = { now + item.deletionDelay, now + item.deletionDelay };
            removeRecord(record, decoder, item.position, delays, now);
            return;
        }
        auto publication = decoder.decode(item);
        std::optional<FleetState::Retained> retained;
        if (known != contents.records.end()) {
            if (auto version = Queries::findRetained(known->second, item, publication, writeTimeOf(contents, item), now)) {
                change.retained.push_back(item.key);
                retained = FleetState::Retained { std::move(publication), version->until };
                publication = std::move(version->publication);
                if (version->keepsValue)
                    item.value = known->second.item.value;
            }
        }
        if (item.value.size() > FleetState::maximumUnusedValueBytes && isUnused(publication, item.key, decoder))
            item.value = std::string();
        if (auto* unreadable = std::get_if<Unreadable>(&publication)) {
            change.unreadable.push_back(item.key + ": " + unreadable->reason);
            // If a configuration can't be decoded, the previous one stays in force.
            if (known != contents.records.end() && std::holds_alternative<ConfigurationPublished>(known->second.publication))
                publication = known->second.publication;
        }
        if (auto* published = std::get_if<ConfigurationPublished>(&publication))
            change.configuration = published->configuration;
        auto* declared = std::get_if<WeightsDeclared>(&publication);
        if (declared && !(known != contents.records.end() && repeatsDeclaration(known->second, *declared, item)))
            recordDeclared(contents, *declared, item, origin, now, change);
        auto& record = contents.records[item.key];
        auto previous = takePreviousValue(record.item);
        record = Record { std::move(item), std::move(publication), now, std::nullopt, std::move(previous), std::move(retained), std::nullopt };
    }

    // A listing of a later era may lack what the store lost and what is written again soon.
    DeletionDelays delaysOfListing(const Record& record, StorePosition listing, const std::optional<Base::TimePoint>& targetsUntil, Base::TimePoint now)
    {
        if (record.item.position.era >= listing.era)
            return { targetsUntil, std::nullopt };
        Base::TimePoint entriesUntil = now + FleetState::lostEntryRetention;
        return { std::max(targetsUntil.value_or(entriesUntil), entriesUntil), now + FleetState::lostWriteRetention };
    }

    // Puts what the store shows in force if nothing was written in the time for which another version was retained. Returns
    // whether it did.
    bool endRetention(Record& record, Base::TimePoint now)
    {
        if (!record.retained || !record.retained->until || *record.retained->until > now)
            return false;
        record.publication = std::move(record.retained->shown);
        record.retained.reset();
        return true;
    }

} // namespace

AppliedChange applyItems(FleetState& state, const PublicationDecoder& decoder, std::vector<PublishedItem> items, const ItemBatchOrigin& origin, Base::TimePoint now)
{
    return state.withContents([&](Contents& contents) {
        AppliedChange change;
        for (auto& item : items)
            mergeItem(contents, decoder, std::move(item), origin, now, change);
        contents.position = std::max(contents.position, origin.position);
        if (change.anything)
            publishSnapshot(contents);
        return change;
    });
}

AppliedChange applyListing(FleetState& state, const PublicationDecoder& decoder, const std::string& prefix, const std::vector<std::string>& listedKeys, StorePosition position, const std::optional<Base::TimePoint>& deferDeletionsUntil, Base::TimePoint now)
{
    std::unordered_set<std::string> listed(listedKeys.begin(), listedKeys.end());
    return state.withContents([&](Contents& contents) {
        AppliedChange change;
        for (auto& [key, record] : contents.records) {
            if (!key.starts_with(prefix) || listed.contains(key) || record.item.deleted || record.item.position > position)
                continue;
            if (Queries::isRetainedIfMissing(record, position)) {
                change.retained.push_back(key);
                change.anything = true;
                continue;
            }
            removeRecord(record, decoder, position, delaysOfListing(record, position, deferDeletionsUntil, now), now);
            change.anything = true;
        }
        auto& listedPosition = contents.listedPositions[prefix];
        listedPosition = std::max(listedPosition, position);
        if (change.anything)
            publishSnapshot(contents);
        return change;
    });
}

AppliedChange applyObservedDeclarations(FleetState& state, const std::vector<ObservedDeclaration>& declarations, Base::TimePoint now)
{
    return state.withContents([&](Contents& contents) {
        AppliedChange change;
        for (auto& observed : declarations) {
            auto history = contents.declaredWeights.find(observed.model);
            if (history == contents.declaredWeights.end())
                continue;
            for (auto& entry : recordObservedDeclaration(history->second, { observed.version, now - observed.age, false }))
                change.declarations.push_back({ observed.model, entry, false });
        }
        change.anything = !change.declarations.empty();
        if (change.anything)
            publishSnapshot(contents);
        return change;
    });
}

void recordCompleteness(FleetState& state, Completeness completeness)
{
    state.withContents([&](Contents& contents) {
        if (!contents.completeness || contents.completeness->asOf < completeness.asOf)
            contents.completeness = std::move(completeness);
    });
}

void expireDeletions(FleetState& state, Base::TimePoint now)
{
    state.withContents([&](Contents& contents) {
        bool changed = false;
        for (auto& [key, record] : contents.records) {
            if (record.learnedAt + FleetState::previousValueRetention < now)
                record.previous.reset();
            changed |= endRetention(record, now);
            if (!record.deletionDueAt || *record.deletionDueAt > now)
                continue;
            record.deletionDueAt.reset();
            record.publication = Unrelated {};
            changed = true;
        }
        std::erase_if(contents.records, [&](auto& entry) {
            auto& record = entry.second;
            bool isForgotten = record.item.deleted && !record.deletionDueAt && record.learnedAt + FleetState::deletionRetention < now;
            if (isForgotten)
                contents.forgottenDeletions = std::max(contents.forgottenDeletions, record.item.position);
            return isForgotten;
        });
        if (changed)
            publishSnapshot(contents);
    });
}

} // namespace Lavenderloft::Fleet::Commands
