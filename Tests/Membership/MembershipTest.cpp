#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Membership/Commands/ChangeStatus.h"
#include "Membership/Commands/MergeMembers.h"
#include "Membership/Commands/UpdateSelf.h"
#include "Membership/Queries/ComposeGossip.h"
#include "Membership/Queries/LiveMembers.h"
#include "Membership/Queries/SelectPeers.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <memory>

using namespace Lavenderloft;
using namespace Lavenderloft::Membership;
using namespace std::chrono_literals;

namespace {

Member makeMember(const std::string& vm, const std::string& dataCentre = "one", uint64_t incarnation = 1)
{
    Member member;
    member.vm = vm;
    member.dataCentre = dataCentre;
    member.incarnation = incarnation;
    member.version = 1;
    return member;
}

std::unique_ptr<MemberTable> makeTable(const std::string& vm, Base::TimePoint now)
{
    auto table = std::make_unique<MemberTable>(vm);
    Commands::UpdateSelf(*table).introduce(makeMember(vm), now);
    return table;
}

Status statusOf(const MemberTable& table, const std::string& vm)
{
    return Queries::LiveMembers(table).find(vm)->status;
}

// One exchange between two tables, both ways.
void exchange(MemberTable& from, MemberTable& to, Base::TimePoint now, uint64_t& cursor)
{
    auto request = Queries::ComposeGossip(from).request({}, cursor);
    Commands::MergeMembers(to).execute(request.members, now);
    auto response = Queries::ComposeGossip(to).response(request, {});
    Commands::MergeMembers(from).execute(response.members, now);
    cursor = response.pageCursor;
}

} // namespace

// Guards against an old report that brings a dead process, or an earlier incarnation, back.
Test(Membership, keepsTheNewerOfTwoReports)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    Commands::MergeMembers merge(*table);
    merge.execute({ makeMember("a", "one", 2) }, clock.now());
    merge.execute({ makeMember("a", "one", 1) }, clock.now());
    cr_assert_eq(Queries::LiveMembers(*table).find("a")->incarnation, 2);
    Commands::ChangeStatus change(*table);
    change.recordFailedProbe("a", clock.now());
    clock.advance(Commands::suspicionTime);
    change.expire(clock.now());
    merge.execute({ makeMember("a", "one", 2) }, clock.now());
    cr_assert(statusOf(*table, "a") == Status::Dead);
    merge.execute({ makeMember("a", "one", 3) }, clock.now());
    cr_assert(statusOf(*table, "a") == Status::Alive);
}

// Guards against a live process being dropped because one probe was lost.
Test(Membership, aSuspectRefutesByRaisingItsVersion)
{
    Base::ManualClock clock;
    auto own = makeTable("a", clock.now());
    auto other = makeTable("b", clock.now());
    uint64_t cursor = 0;
    exchange(*own, *other, clock.now(), cursor);
    Commands::ChangeStatus(*other).recordFailedProbe("a", clock.now());
    cr_assert(statusOf(*other, "a") == Status::Suspect);
    exchange(*own, *other, clock.now(), cursor);
    exchange(*own, *other, clock.now(), cursor);
    cr_assert(statusOf(*other, "a") == Status::Alive);
}

// Guards against a paused process that acts on although a newer one has taken its name.
Test(Membership, aSupersededProcessLeaves)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    Commands::MergeMembers(*table).execute({ makeMember("self", "one", 9) }, clock.now());
    cr_assert(statusOf(*table, "self") == Status::Leaving);
}

// Guards against an adapter that a replica serves and that no router learns of.
Test(Membership, adaptersOfAReplicaAreAnnounced)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    Commands::UpdateSelf(*table).execute([](Member& self) { self.replicas.resize(1); }, clock.now());
    auto before = table->viewHash();
    Commands::UpdateSelf(*table).execute([](Member& self) { self.replicas[0].adapters = { "a1" }; }, clock.now());
    cr_assert_neq(table->viewHash(), before);
}

// Guards against gossip traffic that grows with load reports, or with the fleet at each new revision.
Test(Membership, loadAndRevisionAloneAreNotAnnounced)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    auto before = table->viewHash();
    Commands::UpdateSelf(*table).execute([](Member& self) { self.load.running = 7; }, clock.now());
    cr_assert_eq(table->viewHash(), before);
    Commands::UpdateSelf(*table).execute([](Member& self) { self.revision = 7; }, clock.now());
    cr_assert_eq(table->viewHash(), before);
    Commands::UpdateSelf(*table).execute([](Member& self) { self.status = Status::Leaving; }, clock.now());
    cr_assert_neq(table->viewHash(), before);
}

// Guards against views that never converge, and against a neighbour set that grows with the fleet.
Test(Membership, sixtyFourViewsConvergeOverTheirNeighbours)
{
    constexpr size_t count = 64;
    Base::ManualClock clock;
    Base::SeededRandom random(7);
    std::map<std::string, std::unique_ptr<MemberTable>> tables;
    std::map<std::string, uint64_t> cursors;
    for (size_t i = 0; i < count; ++i) {
        auto vm = "vm" + std::to_string(i);
        tables[vm] = makeTable(vm, clock.now());
        Commands::MergeMembers(*tables[vm]).execute({ makeMember("vm0") }, clock.now());
    }
    size_t rounds = 0;
    auto converged = [&] {
        auto hash = tables.begin()->second->viewHash();
        return std::all_of(tables.begin(), tables.end(), [&](auto& entry) { return entry.second->viewHash() == hash; });
    };
    for (; rounds < 20 && !converged(); ++rounds) {
        for (auto& [vm, table] : tables) {
            auto peers = Queries::SelectPeers(*table, random).inDataCentre(1);
            cr_assert_leq(Queries::SelectPeers(*table, random).neighbours().size(), 7);
            for (auto& peer : peers)
                exchange(*table, *tables.at(peer.vm), clock.now(), cursors[vm]);
        }
    }
    cr_assert(converged());
    cr_assert_eq(tables.begin()->second->entries().size(), count);
}
