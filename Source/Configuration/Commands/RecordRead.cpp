#include "Configuration/Commands/RecordRead.h"

#include <algorithm>

namespace Lavenderloft::Configuration::Commands {

void RecordRead::started(Base::TimePoint now, size_t peersAsked)
{
    auto jitter = m_random.nextFraction();
    m_schedule.update([&](ReadState& state) {
        state.startedAt = now;
        state.peersAsked = peersAsked;
        state.peersResponded = 0;
        state.allPeersRespondedAt = peersAsked ? std::nullopt : std::optional(now);
        state.jitter = jitter;
    });
}

void RecordRead::peerResponded(Base::TimePoint now)
{
    m_schedule.update([&](ReadState& state) {
        if (++state.peersResponded == state.peersAsked)
            state.allPeersRespondedAt = now;
    });
}

void RecordRead::confirmed(Base::TimePoint at)
{
    m_schedule.update([&](ReadState& state) { state.confirmedAt = std::max(state.confirmedAt.value_or(at), at); });
}

void RecordRead::callStarted(Base::TimePoint now)
{
    auto jitter = m_random.nextFraction();
    m_schedule.update([&](ReadState& state) {
        state.isCalling = true;
        state.lastCallStartedAt = now;
        state.jitter = jitter;
    });
}

void RecordRead::callEnded(Base::TimePoint now, ReadOutcome outcome)
{
    m_schedule.update([&](ReadState& state) {
        state.isCalling = false;
        state.callsWithoutNewDocument = outcome == ReadOutcome::NewDocument ? 0 : state.callsWithoutNewDocument + 1;
    });
    if (outcome != ReadOutcome::Failed)
        confirmed(now);
}

} // namespace Lavenderloft::Configuration::Commands
