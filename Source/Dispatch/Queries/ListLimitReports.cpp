#include "Dispatch/Queries/ListLimitReports.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    // Longer than a report takes to reach all routers.
    constexpr std::chrono::seconds endedLimitReportTime { 20 };

    bool isReported(const KnownLimit& limit, Base::TimePoint now)
    {
        return limit.requestsPerSecond || now - limit.statedAt < endedLimitReportTime;
    }

} // namespace

std::vector<LimitReport> listLimitReports(DispatchState& state, Base::TimePoint now)
{
    std::vector<LimitReport> reports;
    state.forEachService([&](const std::string& name, ServiceState& service) {
        for (auto& [id, runtime] : service.targets) {
            auto& limit = runtime.knowledge.limit;
            if (!limit || !isReported(*limit, now))
                continue;
            auto age = std::chrono::ceil<std::chrono::milliseconds>(now - limit->statedAt);
            reports.push_back({ name, id, runtime.knowledge.incarnation, limit->requestsPerSecond, age });
        }
    });
    std::sort(reports.begin(), reports.end(), [](auto& left, auto& right) { return left.age < right.age; });
    return reports;
}

} // namespace Lavenderloft::Dispatch::Queries
