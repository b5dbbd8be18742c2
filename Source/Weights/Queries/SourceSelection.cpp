#include "Weights/Queries/SourceSelection.h"

#include "Weights/TransferLimits.h"

#include <algorithm>

namespace Lavenderloft::Weights::Queries {

namespace {

    // Attempts with the short delay, while the manifest spreads; later attempts use the long one.
    constexpr unsigned shortDelayAttempts = 20;
    constexpr std::chrono::milliseconds shortRetryDelay = 50ms;
    constexpr std::chrono::milliseconds longRetryDelay = 500ms;

    // A peer may only be slow, so the timeout of a manifest is doubled each time.
    constexpr std::chrono::milliseconds maximumManifestTimeout = 8000ms;
    constexpr unsigned maximumManifestDoublings = 3;

    ManifestSource chooseUpstreamSource(const ChunkOwnership& ownership, unsigned attempt)
    {
        if (ownership.upstream.empty())
            return { true, {} };
        // Every other attempt goes to the preferred region; the rest cycle through all of them.
        auto& region = attempt % 2 == 0 ? ownership.upstream.front() : ownership.upstream[(attempt / 2) % ownership.upstream.size()];
        return { false, region[(attempt / 4) % region.size()] };
    }

} // namespace

ManifestSource chooseManifestSource(const ChunkOwnership& ownership, const Participant& self, const std::vector<Participant>& neighbours, unsigned attempt, Base::Duration elapsed, Base::RandomSource& random)
{
    auto rank = std::find(ownership.ranked.begin(), ownership.ranked.end(), self.vm) - ownership.ranked.begin();
    auto isRanked = static_cast<size_t>(rank) < ownership.ranked.size();
    auto responsible = isRanked && elapsed >= takeOverDeadline * rank;
    // Every fourth attempt goes to a peer, because a region that is cut off from the origin may still get the manifest there.
    if (responsible && (attempt % 4 != 3 || neighbours.empty())) {
        if (ownership.fromOrigin && (attempt % 2 == 0 || ownership.upstream.empty()))
            return { true, {} };
        return chooseUpstreamSource(ownership, attempt);
    }
    if (attempt % 2 == 0 && !ownership.ranked.empty() && ownership.ranked.front() != self.vm)
        return { false, ownership.ranked.front() };
    if (neighbours.empty())
        return ownership.fromOrigin ? ManifestSource { true, {} } : chooseUpstreamSource(ownership, attempt);
    return { false, neighbours[random.nextBelow(neighbours.size())].vm };
}

std::chrono::milliseconds manifestTimeout(unsigned timeouts)
{
    return std::min(peerCallTimeout * (1 << std::min(timeouts, maximumManifestDoublings)), maximumManifestTimeout);
}

std::chrono::milliseconds manifestRetryDelay(unsigned attempt)
{
    return attempt < shortDelayAttempts ? shortRetryDelay : longRetryDelay;
}

std::chrono::milliseconds backoffAfter(WeightErrorKind kind)
{
    switch (kind) {
    case WeightErrorKind::WrongDigest:
    case WeightErrorKind::MalformedManifest:
        return corruptPeerBackoff;
    case WeightErrorKind::Stalled:
    // An agent never discards chunks of a wanted version, so the holdings that the peer reported are unreliable.
    case WeightErrorKind::NotHeld:
        return stalledPeerBackoff;
    case WeightErrorKind::Unreachable:
        return stallTimeout;
    case WeightErrorKind::Busy:
        return busyPeerRetryDelay;
    case WeightErrorKind::NotWanted:
    case WeightErrorKind::MemoryBudgetExceeded:
    case WeightErrorKind::Cancelled:
        return 0ms;
    }
    return 0ms;
}

bool areParticipantsSettled(Base::TimePoint transferSince, Base::TimePoint participantsChangedAt, Base::TimePoint now)
{
    return now - participantsChangedAt >= participantsSettleTime || now - transferSince >= participantsSettleTimeout;
}

bool isStoreRegionAwaited(const std::vector<Participant>& participants, const Participant& self, const std::string& storeRegion, Base::TimePoint transferSince, Base::TimePoint now)
{
    if (self.region == storeRegion || now - transferSince >= participantsSettleTimeout)
        return false;
    return std::none_of(participants.begin(), participants.end(), [&](auto& participant) { return participant.region == storeRegion; });
}

std::chrono::milliseconds originBackoff(unsigned failures)
{
    auto backoff = initialOriginBackoff;
    for (unsigned i = 1; i < failures && backoff < maximumOriginBackoff; ++i)
        backoff *= 2;
    return std::min(backoff, maximumOriginBackoff);
}

} // namespace Lavenderloft::Weights::Queries
