#include "Dispatch/Queries/ListPartReports.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    using namespace std::chrono_literals;

    // Reports are sent again for this time, because datagrams may be lost.
    constexpr std::chrono::milliseconds reportRepeatPeriod = 1000ms;

    std::chrono::milliseconds ageOf(Base::TimePoint time, Base::TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time);
    }

    bool isRecent(Base::TimePoint time, Base::TimePoint now)
    {
        return time != Base::TimePoint() && now - time <= reportRepeatPeriod;
    }

    // A message has room for some reports only.
    bool isMoreSuspect(const PartRecord& left, const PartRecord& right)
    {
        if (left.crashes.size() != right.crashes.size())
            return left.crashes.size() > right.crashes.size();
        if (left.isKnownSound() != right.isKnownSound())
            return right.isKnownSound();
        return left.position > right.position;
    }

    // Whether the other routers should be told of the last response: no router has told them of any, or only of one before
    // the crash.
    bool isNews(const PartRecord& record)
    {
        if (record.announcedServedAt == Base::TimePoint())
            return true;
        return record.announcedServedAt < record.lastCrashAt && record.servedAt >= record.lastCrashAt;
    }

    // Another router may have reported the blocked part for all that refuse its requests.
    bool isReported(const PartRecord& record, const PartCrash& crash, Base::TimePoint now)
    {
        bool isRefusing = record.blockedAt && isRecent(record.refusedAt, now) && !isRecent(record.reportedElsewhereAt, now);
        return isRefusing || (crash.confirmedAt && isRecent(*crash.confirmedAt, now));
    }

} // namespace

PartReports listPartReports(const DispatchState& state, Base::TimePoint now)
{
    PartReports reports;
    std::vector<std::pair<uint64_t, PartRecord>> suspects;
    state.parts().records().forEach([&](uint64_t part, const PartRecord& record) {
        if (!record.crashes.empty())
            suspects.emplace_back(part, record);
        if (record.announceServedUntil > now && isNews(record))
            reports.served.push_back({ part, ageOf(record.servedAt, now) });
    });
    std::stable_sort(suspects.begin(), suspects.end(), [](auto& left, auto& right) { return isMoreSuspect(left.second, right.second); });
    for (auto& [part, record] : suspects) {
        for (auto& crash : record.crashes) {
            if (isReported(record, crash, now))
                reports.crashes.push_back({ part, crash.target, ageOf(crash.at, now), record.position });
        }
    }
    return reports;
}

} // namespace Lavenderloft::Dispatch::Queries
