#include "Placement/PlacementFixture.h"

#include "Placement/AssignmentCache.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>

using namespace Lavenderloft;
using namespace Lavenderloft::Placement;
using namespace Lavenderloft::Testing;
using Queries::assignedPools;
using Queries::Assignment;

namespace {

std::map<std::string, unsigned> countPools(const Assignment& assignment)
{
    std::map<std::string, unsigned> counts;
    for (auto& [vm, pool] : assignment)
        ++counts[pool];
    return counts;
}

// The number of replicas that must load weights: VMs that serve a different pool than before, or a pool for the first time.
unsigned countMoves(const Assignment& before, const Assignment& after)
{
    unsigned moves = 0;
    for (auto& [vm, pool] : after) {
        auto earlier = before.find(vm);
        moves += earlier == before.end() || earlier->second != pool;
    }
    return moves;
}

} // namespace

// Guards against pools with too few or too many replicas, or with all of them in one data centre.
Test(Assignment, respectsCountsAndSpreadsOverDataCentres)
{
    Fleet fleet(10);
    fleet.document.pools = { makePool("assistant", 9), makePool("summaries", 7, 50) };
    auto assignment = assignedPools(fleet.document, fleet.members);
    cr_assert_eq(countPools(assignment)["assistant"], 9);
    cr_assert_eq(countPools(assignment)["summaries"], 7);
    std::map<std::string, int> perDataCentre;
    for (auto& [vm, pool] : assignment)
        perDataCentre[pool + vm.substr(0, 4)]++;
    for (const char* dataCentre : { "dc-1", "dc-2", "dc-3" }) {
        cr_assert_eq(perDataCentre[std::string("assistant") + dataCentre], 3);
        cr_assert_geq(perDataCentre[std::string("summaries") + dataCentre], 2);
    }
}

// Guards against replicas in data centres that a pool does not name, on drained VMs, on VMs of services,
// in data centres that are out and on leaving members.
Test(Assignment, usesOnlyMembersThatMayServe)
{
    Fleet fleet(4);
    fleet.document.pools = { makePool("assistant", 100) };
    fleet.document.pools.front().dataCentres = { "dc-1", "dc-2" };
    fleet.document.drains = { "dc-1-vm-0" };
    fleet.document.services.push_back({ "ledger", { "dc-1-vm-1" } });
    fleet.members[2].status = Membership::Status::Leaving;
    fleet.members[3].role = Membership::Role::Router;
    auto assignment = assignedPools(fleet.document, fleet.members);
    cr_assert_eq(assignment.size(), 4);
    for (auto& [vm, pool] : assignment)
        cr_assert(vm.starts_with("dc-2"));
    fleet.document.dataCentres[1].state = DesiredState::DataCentreState::Out;
    cr_assert(assignedPools(fleet.document, fleet.members).empty());
}

// Guards against a low-priority pool that takes members from a high-priority one when there are too few.
Test(Assignment, prefersHigherPriorities)
{
    Fleet fleet(2);
    fleet.document.pools = { makePool("low", 4, 10), makePool("high", 5, 200) };
    auto counts = countPools(assignedPools(fleet.document, fleet.members));
    cr_assert_eq(counts["high"], 5);
    cr_assert_eq(counts["low"], 1);
}

// Guards against a single lost member that makes much of the fleet reload. Checks for each member that its loss
// moves few replicas, and that the order of the member list is irrelevant.
Test(Assignment, movesFewReplicasWhenAMemberLeaves)
{
    Fleet fleet(20);
    fleet.document.pools = { makePool("a", 20), makePool("b", 15), makePool("c", 10) };
    auto before = assignedPools(fleet.document, fleet.members);
    unsigned worst = 0;
    unsigned total = 0;
    for (auto& lost : fleet.members) {
        auto members = fleet.members;
        std::erase_if(members, [&](auto& member) { return member.vm == lost.vm; });
        std::reverse(members.begin(), members.end());
        auto after = assignedPools(fleet.document, members);
        cr_assert(countPools(after) == countPools(before));
        auto moves = countMoves(before, after);
        worst = std::max(worst, moves);
        total += moves;
    }
    // One replacement, and one displaced replica for each of the two other pools.
    cr_assert_leq(worst, 2 * fleet.document.pools.size());
    cr_assert_leq(total, fleet.document.pools.size() * fleet.members.size());
}

// Guards against moves when only the load, status or replicas of members change.
Test(Assignment, doesNotDependOnLoad)
{
    Fleet fleet(5);
    fleet.document.pools = { makePool("a", 5), makePool("b", 5) };
    auto before = assignedPools(fleet.document, fleet.members);
    for (auto& member : fleet.members) {
        member.load.running = 10;
        member.status = Membership::Status::Suspect;
        member.replicas.push_back({ "a", "a-v1" });
    }
    cr_assert(assignedPools(fleet.document, fleet.members) == before);
}

// Guards against a stale assignment after the document or the members have changed.
Test(Assignment, cacheFollowsDocumentAndMembers)
{
    Fleet fleet(3);
    fleet.document.pools = { makePool("a", 4) };
    auto document = std::make_shared<DesiredState::Document>(fleet.document);
    AssignmentCache cache;
    cr_assert(cache.assignment(document, fleet.members) == assignedPools(*document, fleet.members));
    auto larger = std::make_shared<DesiredState::Document>(fleet.document);
    larger->pools.front().replicas = 6;
    cr_assert_eq(cache.assignment(larger, fleet.members).size(), 6);
    for (auto& member : fleet.members) {
        member.status = Membership::Status::Leaving;
        cr_assert(cache.assignment(larger, fleet.members) == assignedPools(*larger, fleet.members));
    }
}
