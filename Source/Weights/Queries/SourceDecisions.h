#pragma once

#include "Base/RandomSource.h"
#include "Weights/DownloadTable.h"
#include "Weights/Queries/ChunkDuties.h"

#include <chrono>
#include <optional>

namespace Lavenderloft::Weights::Queries {

// Where to ask for a manifest next.
struct ManifestSource {
    bool origin = false;
    std::string vm;
};

// The first in rank of the region asks the origin, or the first in rank of other regions; all others ask the first in rank
// and random neighbours in turn. The next in rank takes over after the deadline.
ManifestSource chooseManifestSource(const ChunkDuty&, const Participant& self, const std::vector<Participant>& neighbours, unsigned attempt, Base::Duration elapsed, Base::RandomSource&);

// Pause before the next attempt to get a manifest.
std::chrono::milliseconds manifestRetryPause(unsigned attempt);

// How long a peer is avoided after a download from it failed.
std::chrono::milliseconds avoidanceAfter(WeightErrorKind);

// Whether the list of participants can be relied on, so that agents that rank differ no more than the list does.
bool areParticipantsSettled(Base::TimePoint transferSince, Base::TimePoint participantsChangedAt, Base::TimePoint now);

// Whether an agent outside the store's region waits for agents of that region, none of which is known to want the manifest.
// What they want arrives later than what the own region wants; an agent that does not wait reads from the origin the
// chunks that they read as well.
bool isStoreRegionAwaited(const std::vector<Participant>&, const Participant& self, const std::string& storeRegion, Base::TimePoint transferSince, Base::TimePoint now);

// Pause before the origin is asked again after a number of failures in sequence.
std::chrono::milliseconds originPause(unsigned failures);

} // namespace Lavenderloft::Weights::Queries
