#include "Peering/PeerClocks.h"

#include "Base/ManualClock.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

namespace {

// Two processes with different clocks, and the ways of the messages between them.
struct TestPair {
    Base::ManualClock clock;
    // Time of the other process's clock that is ahead of the clock of the test.
    std::chrono::milliseconds ahead { 700000 };
    // What each of the two knows of the other.
    PeerClocks own;
    PeerClocks other;

    static constexpr uint32_t ownIncarnation = 1;
    static constexpr uint32_t otherIncarnation = 2;

    Base::TimePoint otherNow() const { return clock.now() + ahead; }

    void sendToOther(std::chrono::milliseconds way)
    {
        auto sentAt = PeerClocks::readingAt(clock.now(), ownIncarnation);
        clock.advance(way);
        other.recordArrival("own", sentAt, otherNow());
    }

    // Returns the bound of the wait of a message from the other process that takes the given time.
    std::optional<std::chrono::milliseconds> waitFromOther(std::chrono::milliseconds way)
    {
        MessageTimes times { PeerClocks::readingAt(otherNow(), otherIncarnation), other.passedTime("own", otherNow()) };
        clock.advance(way);
        own.recordArrival("other", *times.sentAt, clock.now());
        return PeerClocks::maximumWait(times, ownIncarnation, clock.now());
    }
};

} // namespace

// Guards against a wait that is taken for shorter than it was, whatever the clocks and the ways of the messages.
Test(PeerClocks, boundsTheWaitByTheShortestRoundTrip)
{
    for (auto ahead : { 700s, 0s, -700s }) {
        TestPair pair;
        pair.ahead = ahead;
        cr_expect_not(pair.waitFromOther(10ms).has_value());
        pair.sendToOther(900ms);
        cr_expect(pair.waitFromOther(10ms) == 910ms);
        pair.sendToOther(20ms);
        cr_expect(pair.waitFromOther(10ms) == 30ms);
        // The way to the other process has become slow, which says nothing of this message.
        pair.sendToOther(900ms);
        cr_expect(pair.waitFromOther(10ms) == 30ms);
        cr_expect(pair.waitFromOther(2s) == 2020ms);
    }
}

// Guards against a wait that is taken for shorter than it was because a clock has drifted, and against peers of long ago
// that stay in memory.
Test(PeerClocks, forgetsOldMessages)
{
    TestPair pair;
    pair.sendToOther(20ms);
    pair.clock.advance(40s);
    pair.sendToOther(50ms);
    cr_expect(pair.waitFromOther(0ms) == 20ms);
    pair.clock.advance(40s);
    pair.sendToOther(60ms);
    cr_expect(pair.waitFromOther(0ms) == 50ms);
    pair.clock.advance(70s);
    cr_expect_not(pair.waitFromOther(0ms).has_value());
    pair.other.removeExpired(pair.otherNow());
    pair.sendToOther(80ms);
    cr_expect(pair.waitFromOther(0ms) == 80ms);
}

// Guards against the clock of an earlier process at the same address.
Test(PeerClocks, keepsTheProcessesAtAnAddressApart)
{
    TestPair pair;
    pair.sendToOther(20ms);
    // The VM of this process starts again, and its clock with it.
    pair.other.recordArrival("own", { 3, 100ms }, pair.otherNow());
    auto passed = pair.other.passedTime("own", pair.otherNow());
    cr_assert_eq(passed->incarnation, 3);
    cr_expect(passed->time == 100ms);
    cr_expect_not(pair.waitFromOther(0ms).has_value());
}
