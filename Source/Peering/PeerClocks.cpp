#include "Peering/PeerClocks.h"

#include <algorithm>

namespace Lavenderloft::Peering {

namespace {

    using namespace std::chrono_literals;

    // Clocks that differ by 100 parts per million drift apart by 6 ms in two periods.
    constexpr std::chrono::seconds period = 30s;

    // Rounded up: a difference that is too large only makes a wait look longer.
    std::chrono::milliseconds differenceOf(const ClockReading& sentAt, Base::TimePoint arrivedAt)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(arrivedAt.time_since_epoch()) - sentAt.time;
    }

} // namespace

bool PeerClocks::isExpired(const PeerClock& clock, Base::TimePoint now)
{
    return now - clock.periodStart > 2 * period;
}

void PeerClocks::recordArrival(const std::string& address, const ClockReading& sentAt, Base::TimePoint arrivedAt)
{
    auto difference = differenceOf(sentAt, arrivedAt);
    m_clocks.withShard(address, [&](auto& clocks) {
        auto& clock = clocks[address];
        if (clock.incarnation != sentAt.incarnation || isExpired(clock, arrivedAt)) {
            clock = { sentAt.incarnation, arrivedAt, difference, std::nullopt };
        } else if (arrivedAt - clock.periodStart > period) {
            clock = { sentAt.incarnation, arrivedAt, difference, clock.least };
        } else {
            clock.least = std::min(clock.least, difference);
        }
    });
}

std::optional<ClockReading> PeerClocks::passedTime(const std::string& address, Base::TimePoint now) const
{
    auto clock = m_clocks.find(address);
    if (!clock || isExpired(*clock, now))
        return std::nullopt;
    auto least = std::min(clock->least, clock->previousLeast.value_or(clock->least));
    auto time = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch()) - least;
    return ClockReading { clock->incarnation, std::max(time, 0ms) };
}

void PeerClocks::removeExpired(Base::TimePoint now)
{
    m_clocks.eraseIf([&](auto&, const PeerClock& clock) { return isExpired(clock, now); });
}

std::optional<std::chrono::milliseconds> PeerClocks::maximumWait(const MessageTimes& times, uint32_t ownIncarnation, Base::TimePoint now)
{
    if (!times.notSentBefore || times.notSentBefore->incarnation != ownIncarnation)
        return std::nullopt;
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(now.time_since_epoch()) - times.notSentBefore->time;
    return std::max(wait, 0ms);
}

ClockReading PeerClocks::readingAt(Base::TimePoint time, uint32_t incarnation)
{
    return { incarnation, std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()) };
}

} // namespace Lavenderloft::Peering
