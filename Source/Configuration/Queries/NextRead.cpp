#include "Configuration/Queries/NextRead.h"

#include "Configuration/Queries/ReaderElection.h"

#include <algorithm>

namespace Lavenderloft::Configuration::Queries {

namespace {

    using namespace std::chrono_literals;
    using Base::Duration;
    using Base::TimePoint;

    // Limits the rate of a reader's calls if the service responds to watches immediately.
    constexpr auto minimumReaderInterval = 1s;
    // Maximum backoff of a reader. A corrected document must be active within 8 s.
    constexpr auto maximumReaderInterval = 4s;
    // Spreads out processes whose reads have coincided.
    constexpr auto maximumIntervalJitter = 2s;
    // The first reads after an event that affects all processes, such as the loss of the service, are spread over a
    // window proportional to the fleet size. At this rate the 7,590 processes of the two-year plan use the full
    // fallbackReadInterval, and a small fleet has almost no delay.
    constexpr size_t fleetReadsPerSecond = 759;

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    Duration jitterWindow(size_t fleetSize)
    {
        if (!fleetSize)
            return fallbackReadInterval;
        return std::min<Duration>(fallbackReadInterval, scaled(1s, static_cast<double>(fleetSize) / fleetReadsPerSecond));
    }

    // When all queried peers have responded, or the query times out.
    TimePoint peerQueryEnd(const ReadState& state)
    {
        auto limit = state.startedAt + peerQueryTimeout;
        return std::min(limit, state.allPeersRespondedAt.value_or(limit));
    }

    // With so few candidates every member is a reader. Isolated processes, which see no other member, are therefore
    // all readers and must not call at the readers' rate.
    bool hasFewCandidates(const ReadContext& context)
    {
        return context.candidateCount <= readersPerDataCentre;
    }

    TimePoint fallbackReadAllowedAt(const ReadState& state)
    {
        return *state.lastCallStartedAt + fallbackReadInterval + scaled(maximumIntervalJitter, state.jitter);
    }

    TimePoint nextWatch(const ReadState& state, const ReadContext& context)
    {
        if (!state.lastCallStartedAt) {
            auto window = hasFewCandidates(context) ? jitterWindow(context.fleetSize) : Duration {};
            return peerQueryEnd(state) + scaled(window, state.jitter);
        }
        if (state.callsWithoutNewDocument && hasFewCandidates(context))
            return std::max(peerQueryEnd(state), fallbackReadAllowedAt(state));
        auto doublings = std::min(state.callsWithoutNewDocument, 2u);
        auto interval = std::min<Duration>(maximumReaderInterval, minimumReaderInterval * (1 << doublings));
        return std::max(peerQueryEnd(state), *state.lastCallStartedAt + interval);
    }

    TimePoint nextFallbackRead(const ReadState& state, const ReadContext& context)
    {
        auto ready = peerQueryEnd(state);
        auto earliest = ready;
        if (context.hasDocument)
            earliest = std::max(ready, state.confirmedAt.value_or(state.startedAt) + confirmationTimeout);
        auto at = earliest + scaled(jitterWindow(context.fleetSize), state.jitter);
        return state.lastCallStartedAt ? std::max(at, fallbackReadAllowedAt(state)) : at;
    }

} // namespace

ReadPlan NextRead::plan(const ReadContext& context) const
{
    auto state = m_schedule.state();
    if (state.isCalling)
        return {};
    if (context.isReader)
        return { ReadKind::Watch, nextWatch(state, context) };
    return { ReadKind::Read, nextFallbackRead(state, context) };
}

bool NextRead::isPeerQueryFinished(Base::TimePoint now) const
{
    return now >= peerQueryEnd(m_schedule.state());
}

} // namespace Lavenderloft::Configuration::Queries
