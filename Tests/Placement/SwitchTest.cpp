#include "Placement/PlacementFixture.h"

#include "Base/SeededRandom.h"
#include "Placement/Queries/AssignedPools.h"
#include "Placement/Queries/SwitchPolicy.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Placement;
using namespace Lavenderloft::Testing;
using Membership::ReplicaPhase;

namespace {

bool maySwitch(const DesiredState::Document& document, const std::vector<Membership::Member>& members, const Queries::SwitchCandidate& candidate)
{
    return Queries::maySwitch({ document, members, Queries::assignedPools(document, members) }, candidate);
}

bool isClaimValid(const DesiredState::Document& document, const std::vector<Membership::Member>& members, const Queries::SwitchCandidate& candidate)
{
    return Queries::isClaimValid({ document, members, Queries::assignedPools(document, members) }, candidate);
}

bool mayRelease(const Fleet& fleet, const std::string& vm, const std::string& pool)
{
    return Queries::mayRelease({ fleet.document, fleet.members, Queries::assignedPools(fleet.document, fleet.members) }, vm, pool);
}

// A pool of nine replicas that serve the old version and hold the new one.
struct Rollout : Fleet {
    explicit Rollout(unsigned maxUnavailable)
        : Fleet(3)
    {
        document.pools = { makePool("assistant", 9) };
        document.pools.front().manifest = "v2";
        document.pools.front().maxUnavailable = maxUnavailable;
        for (auto& member : members)
            member.replicas = { { "assistant", "v1", "v2", ReplicaPhase::Waiting } };
    }

    static Queries::SwitchCandidate candidate(const Membership::Member& member) { return { member.vm, "assistant", "assistant" }; }
};

} // namespace

// Guards against more unavailable replicas than the bound, and against a rollout that never starts.
Test(Switch, admitsUpToMaxUnavailable)
{
    for (unsigned bound = 1; bound <= 3; ++bound) {
        Rollout rollout(bound);
        auto allowed = std::count_if(rollout.members.begin(), rollout.members.end(), [&](auto& member) { return maySwitch(rollout.document, rollout.members, Rollout::candidate(member)); });
        cr_assert_eq(allowed, bound);
    }
}

// Guards against a switch while another replica is loading or is unavailable for another reason.
Test(Switch, countsUnavailableReplicas)
{
    Rollout rollout(1);
    rollout.members[4].replicas.front().phase = ReplicaPhase::Loading;
    for (auto& member : rollout.members) {
        if (member.vm != rollout.members[4].vm)
            cr_assert_not(maySwitch(rollout.document, rollout.members, Rollout::candidate(member)));
    }
    cr_assert(isClaimValid(rollout.document, rollout.members, Rollout::candidate(rollout.members[4])));
    rollout.members[4].replicas.front() = { "assistant", "", "v2", ReplicaPhase::Fetching };
    cr_assert_not(isClaimValid(rollout.document, rollout.members, Rollout::candidate(rollout.members[0])));
}

// Guards against a replica without weights that waits to switch although that reduces no capacity.
Test(Switch, letsAnEmptyEngineLoadImmediately)
{
    Rollout rollout(1);
    rollout.members[4].replicas.front().phase = ReplicaPhase::Loading;
    cr_assert(maySwitch(rollout.document, rollout.members, { rollout.members[0].vm, "assistant", "" }));
}

// Guards against more unavailable replicas than the bound when agents decide from views that lack one report or
// one member. In each step every agent decides from the state of the previous step, from which one random other
// member may be missing, and acts on its claim only after the settle time.
Test(Switch, boundHoldsWhenViewsDifferByOne)
{
    for (uint64_t seed = 1; seed <= 200; ++seed) {
        Base::SeededRandom random(seed);
        unsigned bound = 1 + random.nextBelow(2);
        Rollout rollout(bound);
        auto& members = rollout.members;
        std::vector<bool> hasStarted(members.size(), false);
        std::vector<unsigned> claimedAt(members.size(), 0);
        std::vector<unsigned> startedAt(members.size(), 0);
        constexpr unsigned settleSteps = 4;
        constexpr unsigned loadSteps = 3;
        auto previous = members;
        unsigned step = 0;
        auto isDone = [](auto& member) { return member.replicas.front().servingDigest == "v2"; };
        while (!std::all_of(members.begin(), members.end(), isDone)) {
            cr_assert_lt(++step, 1000u, "the rollout does not end with seed %lu", seed);
            auto snapshot = members;
            for (size_t i = 0; i < members.size(); ++i) {
                // The view of the previous step; in one of three cases one member is missing.
                auto view = previous;
                auto missing = random.nextBelow(members.size() * 3);
                if (missing < view.size() && missing != i)
                    view.erase(view.begin() + static_cast<long>(missing));
                auto& replica = members[i].replicas.front();
                if (replica.phase == ReplicaPhase::Waiting) {
                    if (maySwitch(rollout.document, view, Rollout::candidate(members[i]))) {
                        replica.phase = ReplicaPhase::Loading;
                        claimedAt[i] = step;
                    }
                } else if (replica.phase == ReplicaPhase::Loading && !hasStarted[i] && step - claimedAt[i] >= settleSteps) {
                    // After the settle time every claim has propagated.
                    hasStarted[i] = isClaimValid(rollout.document, previous, Rollout::candidate(members[i]));
                    startedAt[i] = step;
                    if (!hasStarted[i])
                        replica.phase = ReplicaPhase::Waiting;
                } else if (hasStarted[i] && replica.phase == ReplicaPhase::Loading && step - startedAt[i] >= loadSteps)
                    replica = { "assistant", "v2", "", ReplicaPhase::Ready };
            }
            unsigned unavailable = 0;
            for (size_t i = 0; i < members.size(); ++i)
                unavailable += hasStarted[i] && members[i].replicas.front().phase == ReplicaPhase::Loading;
            cr_assert_leq(unavailable, bound, "%u replicas are unavailable with seed %lu", unavailable, seed);
            previous = snapshot;
        }
    }
}

// Guards against ranking that depends on detail of members in other data centres, and against a failed replica in
// another data centre that prevents all others from switching.
Test(Switch, usesOnlyTheSharedPartOfOtherDataCentres)
{
    Rollout rollout(1);
    auto viewOf = [&](const Membership::Member& self) {
        auto members = rollout.members;
        for (auto& member : members)
            member = member.dataCentre == self.dataCentre ? member : member.sharedPart();
        return members;
    };
    auto allowed = [&] {
        std::vector<std::string> vms;
        for (auto& member : rollout.members) {
            auto phase = member.replicas.front().phase;
            bool isCandidate = phase == ReplicaPhase::Waiting || phase == ReplicaPhase::Loading;
            if (isCandidate && maySwitch(rollout.document, viewOf(member), Rollout::candidate(member)))
                vms.push_back(member.vm);
        }
        return vms;
    };
    auto first = allowed();
    cr_assert_eq(first.size(), 1);
    auto member = std::find_if(rollout.members.begin(), rollout.members.end(), [&](auto& candidate) { return candidate.vm == first.front(); });
    member->replicas.front().phase = ReplicaPhase::Loading;
    cr_assert(allowed() == first);
    member->replicas.front() = { "assistant", "v2", "", ReplicaPhase::Ready };
    auto second = allowed();
    cr_assert(second.size() == 1 && second != first);
    auto failing = std::find_if(rollout.members.begin(), rollout.members.end(), [&](auto& candidate) { return candidate.vm == second.front(); });
    failing->replicas.front().phase = ReplicaPhase::Failed;
    cr_assert_eq(allowed().size(), 1);
}

// Guards against too few serving replicas in a pool because its members move to another pool.
Test(Switch, keepsEnoughReplicasInThePoolThatIsLeft)
{
    Fleet fleet(2);
    fleet.document.pools = { makePool("old", 3), makePool("new", 3) };
    for (size_t i = 0; i < 3; ++i)
        fleet.members[i].replicas = { { "old", "old-v1", "", ReplicaPhase::Ready } };
    Queries::SwitchCandidate candidate { fleet.members[0].vm, "new", "old" };
    cr_assert(maySwitch(fleet.document, fleet.members, candidate));
    fleet.members[1].replicas.front().phase = ReplicaPhase::Loading;
    cr_assert_not(maySwitch(fleet.document, fleet.members, candidate));
}

// Guards against a replica that stops serving before its replacement serves.
Test(Switch, releasesAReplicaOnlyWhenItsSuccessorServes)
{
    Fleet fleet(1);
    fleet.document.pools = { makePool("assistant", 2) };
    auto assignment = Queries::assignedPools(fleet.document, fleet.members);
    auto surplus = std::find_if(fleet.members.begin(), fleet.members.end(), [&](auto& member) { return !assignment.contains(member.vm); });
    for (auto& member : fleet.members)
        member.replicas = { { "assistant", "assistant-v1", "", ReplicaPhase::Ready } };
    cr_assert(mayRelease(fleet, surplus->vm, "assistant"));
    auto& successor = surplus == fleet.members.begin() ? fleet.members[1] : fleet.members[0];
    successor.replicas.front() = { "assistant", "", "assistant-v1", ReplicaPhase::Fetching };
    cr_assert_not(mayRelease(fleet, surplus->vm, "assistant"));
    cr_assert(mayRelease(fleet, surplus->vm, "removed-pool"));
}
