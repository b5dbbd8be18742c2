#include "Membership/CrashEvidenceTable.h"

#include <algorithm>

namespace Lavenderloft::Membership {

void CrashEvidenceTable::merge(const std::vector<CrashEvidence>& reports, Base::TimePoint now)
{
    if (reports.empty())
        return;
    m_entries.eraseIf([&](const std::string&, const Entry& entry) { return now - entry.observedAt >= retention; });
    for (auto& report : reports) {
        if (report.age >= retention || m_entries.size() >= maximumEntries)
            continue;
        auto key = std::to_string(report.fingerprint) + '@' + report.target;
        m_entries.withShard(key, [&](auto& entries) {
            auto [entry, added] = entries.try_emplace(key, Entry { report, now - report.age });
            if (added)
                ++m_changes;
            else
                entry->second.observedAt = std::max(entry->second.observedAt, now - report.age);
        });
    }
}

std::vector<CrashEvidence> CrashEvidenceTable::recent(Base::TimePoint now) const
{
    std::vector<CrashEvidence> evidence;
    m_entries.forEach([&](const std::string&, const Entry& entry) {
        evidence.push_back({ entry.evidence.fingerprint, entry.evidence.target, now - entry.observedAt });
    });
    return evidence;
}

std::vector<CrashEvidence> CrashEvidenceTable::selectForMessage(Base::TimePoint now) const
{
    auto evidence = recent(now);
    std::erase_if(evidence, [](auto& entry) { return entry.age >= gossipDuration; });
    std::sort(evidence.begin(), evidence.end(), [](auto& a, auto& b) { return a.age < b.age; });
    evidence.resize(std::min(evidence.size(), maximumEntriesPerMessage));
    return evidence;
}

} // namespace Lavenderloft::Membership
