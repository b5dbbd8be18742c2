#include "Base/AdaptiveTimeout.h"
#include "Base/Digest.h"
#include "Base/ManualClock.h"
#include "Base/RendezvousHash.h"
#include "Base/ShardedMap.h"
#include "Base/TokenBucket.h"

#include <criterion/criterion.h>
#include <set>
#include <thread>

using namespace Lavenderloft::Base;
using namespace std::chrono_literals;

// Guards against a digest that differs from the published SHA-256 test vector.
Test(Digest, matchesPublishedVector)
{
    cr_assert(sha256("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    cr_assert(isDigest(sha256("")));
    cr_assert_not(isDigest("BA78"));
}

// Guards against a token bucket that grants its burst twice.
Test(TokenBucket, delaysRequestsAboveTheRate)
{
    ManualClock clock;
    TokenBucket bucket(100, 100);
    cr_assert(bucket.take(100, clock.now()) == Duration::zero());
    cr_assert(bucket.take(50, clock.now()) == 500ms);
    clock.advance(1s);
    cr_assert(bucket.tryTake(50, clock.now()));
    cr_assert_not(bucket.tryTake(1, clock.now()));
}

// Guards against a slow peer that always times out, and against a long timeout after the peer has become fast again.
Test(AdaptiveTimeout, followsTheResponseTimes)
{
    AdaptiveTimeout timeout(1000ms, 4000ms);
    cr_assert(timeout.current() == 1000ms);
    timeout.recordTimeout();
    cr_assert(timeout.current() == 2000ms);
    timeout.recordResponse(1200ms);
    cr_assert(timeout.current() == 2400ms);
    for (int i = 0; i < 3; ++i)
        timeout.recordTimeout();
    cr_assert(timeout.current() == 4000ms);
    timeout.recordResponse(10ms);
    cr_assert(timeout.current() == 1000ms);
}

// Guards against a ranking in which the removal of one member reorders the others.
Test(RendezvousHash, keepsTheOrderOfRemainingMembers)
{
    std::vector<std::string> members { "a", "b", "c", "d", "e" };
    auto ranked = rankMembers("key", members);
    cr_assert(ranked.front() == chooseMember("key", members));
    auto first = ranked.front();
    std::erase(members, first);
    std::erase(ranked, first);
    cr_assert(rankMembers("key", members) == ranked);
}

// Guards against lost updates when several threads write to the same shard.
Test(ShardedMap, countsUpdatesOfSeveralThreads)
{
    ShardedMap<int, int> map;
    auto work = [&] {
        for (int i = 0; i < 1000; ++i)
            map.withShard(i % 8, [&](auto& entries) { ++entries[i % 8]; });
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    int total = 0;
    map.forEach([&](int, int value) { total += value; });
    cr_assert_eq(total, 2000);
}
