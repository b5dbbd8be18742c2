#include "Routing/Queries/FindQuarantine.h"

#include <algorithm>
#include <iterator>

namespace Lavenderloft::Routing::Queries {

namespace {

    struct TargetCrash {
        std::string target;
        std::set<uint64_t> fingerprints;
    };

    bool convicts(const CrashRecord& record, uint64_t fingerprint, Base::TimePoint now)
    {
        return !record.overflowed && record.countsFrom <= now && now - record.at < QuarantineTable::retention && record.fingerprints.contains(fingerprint);
    }

    bool hasSingleCommonFingerprint(const TargetCrash& a, const TargetCrash& b)
    {
        std::vector<uint64_t> common;
        std::set_intersection(a.fingerprints.begin(), a.fingerprints.end(), b.fingerprints.begin(), b.fingerprints.end(), std::back_inserter(common));
        return common.size() == 1;
    }

} // namespace

bool isQuarantined(const QuarantineTable& table, uint64_t fingerprint, Base::TimePoint now)
{
    std::vector<TargetCrash> crashes;
    table.crashes().forEach([&](auto& target, auto& records) {
        for (auto& record : records) {
            if (convicts(record, fingerprint, now))
                crashes.push_back({ target, record.fingerprints });
        }
    });
    for (size_t i = 0; i < crashes.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            if (crashes[i].target != crashes[j].target && hasSingleCommonFingerprint(crashes[i], crashes[j]))
                return true;
        }
    }
    return false;
}

std::vector<Suspicion> listSuspicions(const QuarantineTable& table, Base::TimePoint now)
{
    std::vector<Suspicion> suspicions;
    table.crashes().forEach([&](auto& target, auto& records) {
        for (auto& record : records) {
            for (auto fingerprint : record.fingerprints)
                suspicions.push_back({ fingerprint, target, now - record.at });
        }
    });
    return suspicions;
}

} // namespace Lavenderloft::Routing::Queries
