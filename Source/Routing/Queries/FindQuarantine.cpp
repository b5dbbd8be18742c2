#include "Routing/Queries/FindQuarantine.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace Lavenderloft::Routing::Queries {

namespace {

    struct TargetCrash {
        std::string target;
        CrashRecord record;
    };

    bool isEvidence(const CrashRecord& record, uint64_t fingerprint, Base::TimePoint now)
    {
        return !record.overflowed && now - record.at < QuarantineTable::retention && record.fingerprints.contains(fingerprint);
    }

    bool hasSingleCommonFingerprint(const CrashRecord& a, const CrashRecord& b)
    {
        std::vector<uint64_t> common;
        std::set_intersection(a.fingerprints.begin(), a.fingerprints.end(), b.fingerprints.begin(), b.fingerprints.end(), std::back_inserter(common));
        return common.size() == 1;
    }

    std::vector<TargetCrash> crashesWith(const QuarantineTable& table, uint64_t fingerprint, Base::TimePoint now)
    {
        std::vector<TargetCrash> crashes;
        table.crashes().forEach([&](auto& target, auto& records) {
            for (auto& record : records) {
                if (isEvidence(record, fingerprint, now))
                    crashes.push_back({ target, record });
            }
        });
        return crashes;
    }

    // Time from which the two crashes quarantine the only request common to both. Returns std::nullopt if they
    // are crashes of the same target or have no single request in common.
    std::optional<Base::TimePoint> quarantineStart(const TargetCrash& a, const TargetCrash& b)
    {
        if (a.target == b.target || !hasSingleCommonFingerprint(a.record, b.record))
            return std::nullopt;
        return std::max(a.record.effectiveFrom, b.record.effectiveFrom);
    }

} // namespace

QuarantineStatus findQuarantine(const QuarantineTable& table, uint64_t fingerprint, Base::TimePoint now)
{
    auto crashes = crashesWith(table, fingerprint, now);
    std::optional<Base::TimePoint> earliest;
    for (size_t i = 0; i < crashes.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            auto time = quarantineStart(crashes[i], crashes[j]);
            if (time && (!earliest || *time < *earliest))
                earliest = time;
        }
    }
    if (!earliest)
        return {};
    if (*earliest > now)
        return { QuarantineState::Pending, *earliest - now };
    return { QuarantineState::Quarantined, {} };
}

std::vector<CrashReport> listCrashReports(const QuarantineTable& table, Base::TimePoint now)
{
    std::vector<CrashReport> crashReports;
    table.crashes().forEach([&](auto& target, auto& records) {
        for (auto& record : records) {
            for (auto fingerprint : record.fingerprints)
                crashReports.push_back({ fingerprint, target, now - record.at });
        }
    });
    return crashReports;
}

} // namespace Lavenderloft::Routing::Queries
