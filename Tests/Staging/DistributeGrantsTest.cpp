#include "Staging/Queries/DistributeGrants.h"
#include "Base/SeededRandom.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

// Guards against granting one free slot to two routers, and against routers that never get a grant.
Test(DistributeGrants, grantsEachSlotOnce)
{
    std::vector<Peering::PeerRouter> routers { { "a", "dc-a", {}, 0, 10 }, { "b", "dc-b", {}, 0, 10 }, { "c", "dc-b", {}, 0, 0 } };
    Base::SeededRandom random(7);
    std::map<std::string, unsigned> granted;
    for (int round = 0; round < 300; ++round) {
        auto grants = Queries::distributeGrants(2, routers, { "dc-a" }, random);
        unsigned total = 0;
        for (auto& [router, count] : grants) {
            total += count;
            granted[router] += count;
        }
        cr_assert_eq(total, 2);
    }
    cr_assert_gt(granted["a"], granted["b"], "the router in the engine's data centre is preferred");
    cr_assert_gt(granted["c"], 0, "a router with unknown demand gets some grants");
    cr_assert(Queries::distributeGrants(3, {}, { "dc-a" }, random).empty());
}
