#include "Dispatch/Commands/RecordProgress.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    // A single silence may be accidental.
    constexpr unsigned toleratedSilences = 1;
    // Exponential backoff, doubled with each further silence.
    constexpr std::chrono::milliseconds initialBackoff = 250ms;
    constexpr std::chrono::milliseconds maximumBackoff = 4000ms;
    constexpr unsigned maximumDoublings = 4;

} // namespace

void recordFirstPart(DispatchState& state, const std::string& serviceName, Base::Duration duration, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) { service.responseTimes.firstPart.record(duration, now); });
}

void recordLongestPause(DispatchState& state, const std::string& serviceName, Base::Duration duration, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) { service.responseTimes.longestPause.record(duration, now); });
}

void recordSilence(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        // An engine that is about to load weights aborts requests that it cannot finish in time.
        if (runtime.hasReport(now) && runtime.report.paused)
            return;
        ++runtime.consecutiveSilences;
        if (runtime.consecutiveSilences <= toleratedSilences)
            return;
        auto doublings = std::min(runtime.consecutiveSilences - toleratedSilences - 1, maximumDoublings);
        runtime.silentUntil = now + std::min(initialBackoff * (1 << doublings), maximumBackoff);
    });
}

void recordEndOfSilence(DispatchState& state, const std::string& serviceName, const std::string& targetId)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        runtime.consecutiveSilences = 0;
        runtime.silentUntil = {};
    });
}

} // namespace Lavenderloft::Dispatch::Commands
