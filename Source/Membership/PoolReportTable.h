#pragma once

#include "Base/ShardedMap.h"
#include "Membership/PoolReport.h"

#include <vector>

namespace Lavenderloft::Membership {

// The newest report of each pool in each other data centre. Bounded in number and time.
class PoolReportTable {
public:
    static constexpr size_t maximumEntries = 16384;
    // A data centre that has been silent for so long is no longer shown.
    static constexpr std::chrono::hours retention { 2 };

    void merge(const std::vector<PoolReport>&, Base::TimePoint now);

    // Sorted by data centre and pool, with ages as of now.
    std::vector<PoolReport> all(Base::TimePoint now) const;

private:
    struct Entry {
        PoolReport report;
        Base::TimePoint countedAt;
    };

    // By data centre and pool.
    Base::ShardedMap<std::string, Entry> m_entries;
};

} // namespace Lavenderloft::Membership
