#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderloft::Peering {

// A reading of the monotonic clock of one process.
struct ClockReading {
    // Identifies the process; readings of different incarnations are not comparable.
    uint32_t incarnation = 0;
    std::chrono::milliseconds time { 0 };
};

// What bounds the time for which a message waited between its sender and its receiver.
struct MessageTimes {
    // The sender's clock when the message was sent.
    std::optional<ClockReading> sentAt;
    // A time on the receiver's clock before which the message was not sent, as the sender knows it from earlier messages
    // of the receiver.
    std::optional<ClockReading> notSentBefore;
};

// Relates the clocks of the peers to the clock of this node. The least time between the sending of a message, by the
// peer's clock, and its arrival, by the own clock, is the difference between the clocks and the shortest way of a message.
class PeerClocks {
public:
    // Notes a message from the peer.
    void recordArrival(const std::string& address, const ClockReading& sentAt, Base::TimePoint arrivedAt);

    // The latest time on the peer's clock that has certainly passed at the given time of the own clock; nullopt without a
    // recent message from the peer.
    std::optional<ClockReading> passedTime(const std::string& address, Base::TimePoint now) const;

    // Removes the peers without recent messages.
    void removeExpired(Base::TimePoint now);

    // Upper bound of the time for which a message waited on its way to this process; nullopt if the sender did not know
    // this process yet.
    static std::optional<std::chrono::milliseconds> maximumWait(const MessageTimes&, uint32_t ownIncarnation, Base::TimePoint now);

    // The own clock as a peer is told of it.
    static ClockReading readingAt(Base::TimePoint, uint32_t incarnation);

private:
    // The least differences of the present and of the previous period, so that neither the drift of a clock nor a link that
    // was fast long ago counts for ever.
    struct PeerClock {
        uint32_t incarnation = 0;
        Base::TimePoint periodStart {};
        std::chrono::milliseconds least { 0 };
        std::optional<std::chrono::milliseconds> previousLeast;
    };

    static bool isExpired(const PeerClock&, Base::TimePoint now);

    Base::ShardedMap<std::string, PeerClock> m_clocks;
};

} // namespace Lavenderloft::Peering
