#include "Membership/PoolReportTable.h"

#include <algorithm>
#include <tuple>

namespace Lavenderloft::Membership {

void PoolReportTable::merge(const std::vector<PoolReport>& reports, Base::TimePoint now)
{
    if (reports.empty())
        return;
    m_entries.eraseIf([&](const std::string&, const Entry& entry) { return now - entry.countedAt >= retention; });
    for (auto& report : reports) {
        if (report.age >= retention)
            continue;
        // Names of data centres and pools cannot contain a newline.
        auto key = report.dataCentre + '\n' + report.pool;
        bool isFull = m_entries.size() >= maximumEntries;
        m_entries.withShard(key, [&](auto& entries) {
            auto found = entries.find(key);
            auto countedAt = now - report.age;
            if (found != entries.end() && found->second.countedAt < countedAt)
                found->second = { report, countedAt };
            else if (found == entries.end() && !isFull)
                entries.emplace(key, Entry { report, countedAt });
        });
    }
}

std::vector<PoolReport> PoolReportTable::all(Base::TimePoint now) const
{
    std::vector<PoolReport> reports;
    m_entries.forEach([&](const std::string&, const Entry& entry) {
        auto report = entry.report;
        report.age = now - entry.countedAt;
        if (report.age < retention)
            reports.push_back(std::move(report));
    });
    std::sort(reports.begin(), reports.end(), [](auto& a, auto& b) { return std::tie(a.dataCentre, a.pool) < std::tie(b.dataCentre, b.pool); });
    return reports;
}

} // namespace Lavenderloft::Membership
