#pragma once

#include "Base/ShardedMap.h"
#include "Membership/PoolReport.h"

#include <vector>

namespace Lavenderloft::Membership {

// Latest report of each pool in each other data centre. The number of entries and their age are bounded.
class PoolReportTable {
public:
    static constexpr size_t maximumEntries = 16384;
    // Reports older than this are dropped.
    static constexpr std::chrono::hours retention { 2 };

    void merge(const std::vector<PoolReport>&, Base::TimePoint now);

    // Sorted by data centre and pool; ages are relative to `now`.
    std::vector<PoolReport> all(Base::TimePoint now) const;

private:
    struct Entry {
        PoolReport report;
        Base::TimePoint countedAt;
    };

    // Keyed by data centre and pool.
    Base::ShardedMap<std::string, Entry> m_entries;
};

} // namespace Lavenderloft::Membership
