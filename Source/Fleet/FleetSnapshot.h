#pragma once

#include "Base/Clock.h"
#include "Fleet/Configuration.h"
#include "Fleet/StorePosition.h"
#include "Fleet/TargetEntry.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Fleet {

// A published target and when this process received it.
struct KnownTarget {
    TargetEntry entry;
    // When this process received the current entry.
    Base::TimePoint learnedAt {};

    bool isCold(Base::TimePoint now) const { return now < learnedAt + entry.coldRemaining; }
};

// A model version declared by the operators.
struct DeclaredWeights {
    uint64_t version = 0;
    // Time of the publication, as known to this process.
    Base::TimePoint publishedAt {};
    // It may have been published later than publishedAt, because no node observed the publication.
    bool publishedAtIsLowerBound = false;
};

// The published state as of one position. Immutable.
struct FleetSnapshot {
    StorePosition position;
    std::shared_ptr<const Configuration> configuration;
    std::unordered_map<std::string, std::vector<std::shared_ptr<const KnownTarget>>> targetsByService;
    std::set<std::string> evacuatedDataCentres;
    // Recent declarations by model, oldest first.
    std::map<std::string, std::vector<DeclaredWeights>> weights;
    // Of the versions that stay in force although the store, which has returned from an older copy, shows lower ones or none;
    // zero if there are none.
    uint64_t retainedDigest = 0;
};

} // namespace Lavenderloft::Fleet
