#include "Fleet/Queries/FindRetained.h"

#include "Base/RendezvousHash.h"

namespace Lavenderloft::Fleet::Queries {

namespace {

    // Version of a publication whose versions only increase.
    std::optional<uint64_t> versionOf(const Publication& publication)
    {
        if (auto* configuration = std::get_if<ConfigurationPublished>(&publication))
            return configuration->configuration->version;
        if (auto* weights = std::get_if<WeightsDeclared>(&publication))
            return weights->version;
        return std::nullopt;
    }

    bool isOlderVersion(const Publication& publication, const Publication& known)
    {
        auto version = versionOf(publication);
        auto knownVersion = versionOf(known);
        return publication.index() == known.index() && version && knownVersion && *version < *knownVersion;
    }

    // Whether the entry is that of a target which has said that it leaves, in that incarnation or an earlier one.
    bool isOfLeavingTarget(const TargetPublished& shown, const FleetState::Record& known)
    {
        auto* target = std::get_if<TargetPublished>(&known.publication);
        return target && target->entry.draining && !shown.entry.draining && shown.entry.startedAt <= target->entry.startedAt;
    }

    // Whether the target itself said that it leaves, in an incarnation that its next one can be told from.
    bool hasLeftForGood(const FleetState::Record& known)
    {
        auto* target = std::get_if<TargetPublished>(&known.publication);
        bool isRetainedForTime = known.retained && known.retained->until;
        return target && target->entry.startedAt != 0 && !isRetainedForTime;
    }

    bool isOfEndedTarget(const TargetPublished& shown, const FleetState::Record& known)
    {
        return known.item.deleted && !known.deletionDueAt && known.endedIncarnation && shown.entry.startedAt <= *known.endedIncarnation;
    }

    // Whether the item was deleted, also if an older copy has shown it since.
    bool isEnded(const FleetState::Record& known)
    {
        bool isRetainedAsDeleted = known.retained && std::holds_alternative<Unrelated>(known.publication);
        return isRetainedAsDeleted || (known.item.deleted && !known.deletionDueAt);
    }

    Publication asLeaving(TargetPublished target)
    {
        target.entry.draining = true;
        return target;
    }

} // namespace

std::optional<RetainedVersion> findRetained(const FleetState::Record& known, const PublishedItem& shown, const Publication& publication, WriteTime writeTime, Base::TimePoint now)
{
    bool isFirstOfEra = known.item.position.era < shown.position.era;
    bool isRetainedSince = known.retained && !known.retained->until;
    if (!isFirstOfEra && !isRetainedSince)
        return std::nullopt;
    if (isOlderVersion(publication, known.publication))
        return RetainedVersion { known.publication, std::nullopt, true };
    auto* target = std::get_if<TargetPublished>(&publication);
    if (target && isOfLeavingTarget(*target, known) && hasLeftForGood(known))
        return RetainedVersion { known.publication, std::nullopt, true };
    if (!isFirstOfEra || writeTime == WriteTime::AfterListing)
        return std::nullopt;
    if (target && (isOfLeavingTarget(*target, known) || isOfEndedTarget(*target, known)))
        return RetainedVersion { asLeaving(*target), now + FleetState::deletionRetention };
    if (std::holds_alternative<DataCentreEvacuated>(publication) && isEnded(known))
        return RetainedVersion { Unrelated {}, now + FleetState::lostWriteRetention };
    return std::nullopt;
}

bool isRetainedElsewhere(const PublishedItem& item, const Publication& publication, StorePosition sender)
{
    return item.position.era < sender.era && versionOf(publication);
}

bool isHigherVersion(const Publication& publication, const Publication& known)
{
    return isOlderVersion(known, publication);
}

bool isRetainedIfMissing(const FleetState::Record& known, StorePosition listing)
{
    return known.item.position.era < listing.era && versionOf(known.publication);
}

uint64_t digestOfRetained(const FleetState::Record& known, StorePosition position)
{
    auto version = versionOf(known.publication);
    bool isShownOtherwise = known.retained && !known.retained->until;
    bool isMissing = !known.item.deleted && known.item.position.era < position.era;
    if (!version || (!isShownOtherwise && !isMissing))
        return 0;
    return Base::stableHash(known.item.key + "=" + std::to_string(*version));
}

} // namespace Lavenderloft::Fleet::Queries
