#pragma once

#include "Base/Clock.h"
#include "Fleet/Configuration.h"
#include "Fleet/TargetEntry.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Lavenderloft::Fleet {

// A target as this process knows it.
struct KnownTarget {
    TargetEntry entry;
    // When the entry that is in force was learned here.
    Base::TimePoint learnedAt {};

    bool isCold(Base::TimePoint now) const { return now < learnedAt + entry.coldRemaining; }
};

// The version of a model that operators declared.
struct DeclaredWeights {
    uint64_t version = 0;
    // When it was published, as far as is known.
    Base::TimePoint learnedAt {};
    // It may have been published later: nobody saw it come.
    bool isBound = false;
};

// What is published, as of one revision; immutable.
struct FleetSnapshot {
    uint64_t revision = 0;
    std::shared_ptr<const Configuration> configuration;
    std::unordered_map<std::string, std::vector<std::shared_ptr<const KnownTarget>>> targetsByService;
    std::set<std::string> evacuatedDataCentres;
    // Declarations of each model, the oldest that still matters first.
    std::map<std::string, std::vector<DeclaredWeights>> weights;
};

} // namespace Lavenderloft::Fleet
