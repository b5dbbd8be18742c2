#include "Configuration/Queries/NextRead.h"

#include "Configuration/Queries/ReaderElection.h"

#include <algorithm>

namespace Lavenderloft::Configuration::Queries {

namespace {

    using namespace std::chrono_literals;
    using Base::Duration;
    using Base::TimePoint;

    // Shortest time between two calls of a reader, also when the service answers a watch at once.
    constexpr auto leastReaderInterval = 1s;
    // A reader waits at most this long after fruitless calls, since a correction must be in force within 8 s.
    constexpr auto greatestReaderInterval = 4s;
    // Keeps the reads of processes apart that once fell together.
    constexpr auto intervalJitter = 2s;
    // The first reads after a common event, such as the loss of the service, spread over up to ownReadInterval.
    // At this rate the 7,590 processes of the two-year plan take all of it, and a small fleet hardly waits.
    constexpr size_t fleetReadsPerSecond = 759;

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

    Duration spreadOf(size_t fleetSize)
    {
        if (!fleetSize)
            return ownReadInterval;
        return std::min<Duration>(ownReadInterval, scaled(1s, static_cast<double>(fleetSize) / fleetReadsPerSecond));
    }

    // When the process has heard its peers or waited long enough for them.
    TimePoint startEnd(const ReadState& state)
    {
        auto limit = state.startedAt + peerWait;
        return std::min(limit, state.peersDoneAt.value_or(limit));
    }

    // In a view this small every member is a reader, so that a fleet of isolated processes would consist of
    // readers only.
    bool isViewSmall(const ReadContext& context)
    {
        return context.candidateCount <= readersPerDataCentre;
    }

    TimePoint afterOwnInterval(const ReadState& state)
    {
        return *state.lastCallAt + ownReadInterval + scaled(intervalJitter, state.jitter);
    }

    TimePoint nextWatch(const ReadState& state, const ReadContext& context)
    {
        if (!state.lastCallAt) {
            auto spread = isViewSmall(context) ? spreadOf(context.fleetSize) : Duration {};
            return startEnd(state) + scaled(spread, state.jitter);
        }
        if (state.fruitlessCalls && isViewSmall(context))
            return std::max(startEnd(state), afterOwnInterval(state));
        auto doublings = std::min(state.fruitlessCalls, 2u);
        auto interval = std::min<Duration>(greatestReaderInterval, leastReaderInterval * (1 << doublings));
        return std::max(startEnd(state), *state.lastCallAt + interval);
    }

    TimePoint nextOwnRead(const ReadState& state, const ReadContext& context)
    {
        auto ready = startEnd(state);
        auto wanted = ready;
        if (context.hasDocument)
            wanted = std::max(ready, state.confirmedAt.value_or(state.startedAt) + confirmationLimit);
        auto at = wanted + scaled(spreadOf(context.fleetSize), state.jitter);
        return state.lastCallAt ? std::max(at, afterOwnInterval(state)) : at;
    }

} // namespace

ReadPlan NextRead::plan(const ReadContext& context) const
{
    auto state = m_schedule.state();
    if (state.isCalling)
        return {};
    if (context.isReader)
        return { ReadKind::Watch, nextWatch(state, context) };
    return { ReadKind::Read, nextOwnRead(state, context) };
}

bool NextRead::isPeerQueryFinished(Base::TimePoint now) const
{
    return now >= startEnd(m_schedule.state());
}

} // namespace Lavenderloft::Configuration::Queries
