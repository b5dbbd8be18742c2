#include "Dispatch/Commands/RecordCrash.h"

#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;
    using Entries = CrashHistory::Runs::Entries;

    // Reports are sent again for this time, because datagrams may be lost.
    constexpr std::chrono::milliseconds reportRepeatPeriod = 1000ms;
    // An agent may see the end of its engine this long before or after a router sees a connection break.
    constexpr std::chrono::milliseconds endReportTolerance = 1000ms;

    bool isAtSameProcess(const BrokenRun& left, const BrokenRun& right)
    {
        return left.target == right.target && left.incarnation == right.incarnation;
    }

    // Returns the run of the request at the same process of a target, adding it if needed; null if the history is full.
    BrokenRun* findOrAdd(bool isFull, Entries& entries, uint64_t fingerprint, BrokenRun run)
    {
        auto known = entries.find(fingerprint);
        if (known == entries.end() && isFull)
            return nullptr;
        auto& runs = entries[fingerprint];
        auto same = std::find_if(runs.begin(), runs.end(), [&](auto& other) { return isAtSameProcess(other, run); });
        if (same != runs.end())
            return &*same;
        if (runs.size() >= CrashHistory::maximumRunsPerRequest)
            runs.erase(runs.begin());
        runs.push_back(std::move(run));
        return &runs.back();
    }

    void addRun(CrashHistory& history, uint64_t fingerprint, BrokenRun run)
    {
        bool isFull = history.runs().size() >= CrashHistory::maximumRequests;
        history.runs().withShard(fingerprint, [&](Entries& entries) {
            auto confirmedAt = run.confirmedAt;
            auto* added = findOrAdd(isFull, entries, fingerprint, std::move(run));
            if (added && !added->isConfirmed())
                added->confirmedAt = confirmedAt;
            // Needed only until the crash is confirmed; a prompt may have thousands.
            if (added && added->isConfirmed())
                added->suspectParts = {};
        });
    }

    // Whether the process that ran the request is published. Its target may have another one by now.
    bool isPublished(const Fleet::FleetSnapshot& snapshot, const BrokenRun& run)
    {
        auto targets = snapshot.targetsByService.find(run.service);
        if (targets == snapshot.targetsByService.end())
            return false;
        return std::any_of(targets->second.begin(), targets->second.end(), [&](auto& target) {
            auto& entry = target->entry;
            return entry.id == run.target && (run.incarnation == 0 || entry.startedAt <= run.incarnation);
        });
    }

    bool isSameEnd(Base::TimePoint endedAt, Base::TimePoint brokeAt)
    {
        return endedAt != Base::TimePoint() && endedAt + endReportTolerance >= brokeAt && endedAt <= brokeAt + endReportTolerance;
    }

    bool hasTargetEnded(DispatchState& state, const Fleet::FleetSnapshot& snapshot, const BrokenRun& run)
    {
        if (!isPublished(snapshot, run))
            return true;
        return state.withService(run.service, [&](ServiceState& service) {
            auto runtime = service.targets.find(run.target);
            if (runtime == service.targets.end())
                return false;
            return runtime->second.unreachableAt >= run.brokeAt || isSameEnd(runtime->second.endedAt, run.brokeAt);
        });
    }

    bool isExpired(const BrokenRun& run, Base::TimePoint now)
    {
        return now - run.brokeAt > (run.isConfirmed() ? CrashHistory::retention : CrashHistory::confirmationPeriod);
    }

    // Checks the targets without holding a lock of the history, because each check takes a service lock.
    void confirmEndedTargets(DispatchState& state, Base::TimePoint now)
    {
        std::vector<std::pair<uint64_t, BrokenRun>> open;
        state.crashes().runs().forEach([&](uint64_t fingerprint, const std::vector<BrokenRun>& all) {
            for (auto& run : all) {
                if (!run.isConfirmed() && !isExpired(run, now))
                    open.emplace_back(fingerprint, run);
            }
        });
        auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
        for (auto& [fingerprint, run] : open) {
            if (!hasTargetEnded(state, *snapshot, run))
                continue;
            run.confirmedAt = now;
            auto suspectParts = std::exchange(run.suspectParts, {});
            addRun(state.crashes(), fingerprint, run);
            recordPartCrash(state, suspectParts, run.target, run.brokeAt, now);
        }
    }

} // namespace

void recordBrokenRun(DispatchState& state, uint64_t fingerprint, const Fleet::TargetEntry& target, Base::TimePoint now, std::vector<uint64_t> suspectParts)
{
    addRun(state.crashes(), fingerprint, { target.service, target.id, target.startedAt, now, {}, std::move(suspectParts) });
}

void recordRequestServed(DispatchState& state, uint64_t fingerprint)
{
    state.crashes().runs().erase(fingerprint);
}

std::vector<CrashReport> confirmCrashes(DispatchState& state, Base::TimePoint now)
{
    auto& runs = state.crashes().runs();
    confirmEndedTargets(state, now);
    runs.eraseIf([&](uint64_t, const std::vector<BrokenRun>& all) {
        return std::all_of(all.begin(), all.end(), [&](auto& run) { return isExpired(run, now); });
    });
    std::vector<CrashReport> reports;
    runs.forEach([&](uint64_t fingerprint, const std::vector<BrokenRun>& all) {
        for (auto& run : all) {
            bool isOwn = !run.service.empty();
            if (isOwn && run.isConfirmed() && now - run.confirmedAt <= reportRepeatPeriod)
                reports.push_back({ fingerprint, run.target, run.incarnation, std::chrono::duration_cast<std::chrono::milliseconds>(now - run.brokeAt) });
        }
    });
    return reports;
}

void mergeCrashReports(DispatchState& state, const std::vector<CrashReport>& reports, Base::TimePoint now)
{
    for (auto& report : reports) {
        if (report.age <= CrashHistory::retention)
            addRun(state.crashes(), report.fingerprint, { "", report.target, report.incarnation, now - report.age, now, {} });
    }
}

} // namespace Lavenderloft::Dispatch::Commands
