#pragma once

#include "Base/RandomSource.h"
#include "Weights/DownloadTable.h"
#include "Weights/Queries/ChunkOwnership.h"

#include <chrono>
#include <optional>

namespace Lavenderloft::Weights::Queries {

// The source of the next request for a manifest.
struct ManifestSource {
    bool origin = false;
    std::string vm;
};

// The owner of the manifest in a region asks the origin or the owners in other regions; all other agents alternate
// between the owner and random neighbours. The next agent in rank takes over after the deadline.
ManifestSource chooseManifestSource(const ChunkOwnership&, const Participant& self, const std::vector<Participant>& neighbours, unsigned attempt, Base::Duration elapsed, Base::RandomSource&);

// Timeout of a request to a peer for a manifest, after this many that timed out.
std::chrono::milliseconds manifestTimeout(unsigned timeouts);

// Delay before the next request for a manifest.
std::chrono::milliseconds manifestRetryDelay(unsigned attempt);

// Backoff of a peer after a failed download.
std::chrono::milliseconds backoffAfter(WeightErrorKind);

// Whether the list of participants is stable enough to rank agents by it.
bool areParticipantsSettled(Base::TimePoint transferSince, Base::TimePoint participantsChangedAt, Base::TimePoint now);

// Whether an agent outside the store's region must wait because no participant of that region is known yet. News of them
// arrives later than of the own region; without the wait both regions fetch the same chunks from the origin.
bool isStoreRegionAwaited(const std::vector<Participant>&, const Participant& self, const std::string& storeRegion, Base::TimePoint transferSince, Base::TimePoint now);

// Backoff after a number of consecutive failures of the origin.
std::chrono::milliseconds originBackoff(unsigned failures);

} // namespace Lavenderloft::Weights::Queries
