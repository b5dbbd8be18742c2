#include "Base/ManualClock.h"
#include "Base/RendezvousHash.h"
#include "Base/SeededRandom.h"
#include "Membership/Commands/ChangeStatus.h"
#include "Membership/Commands/MergeMembers.h"
#include "Membership/Commands/RecordTransmission.h"
#include "Membership/Commands/UpdateSelf.h"
#include "Membership/PoolReportTable.h"
#include "Membership/Queries/ComposeGossip.h"
#include "Membership/Queries/LiveMembers.h"
#include "Membership/Queries/ReportPools.h"
#include "Membership/Queries/SelectPeers.h"
#include "Membership/Queries/SummarizeFleet.h"
#include "Transport/ControlCodec.h"

#include "lavenderloft.pb.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

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
    member.sharedVersion = 1;
    return member;
}

std::unique_ptr<MemberTable> makeTable(const std::string& vm, Base::TimePoint now, const std::string& dataCentre = "one")
{
    auto table = std::make_unique<MemberTable>(vm, dataCentre);
    Commands::UpdateSelf(*table).insertSelf(makeMember(vm, dataCentre), now);
    return table;
}

Status statusOf(const MemberTable& table, const std::string& vm)
{
    return Queries::LiveMembers(table).find(vm)->status;
}

// Runs one gossip exchange between two tables.
void exchange(MemberTable& from, MemberTable& to, Base::TimePoint now, uint64_t& cursor)
{
    auto request = Queries::ComposeGossip(from).request(to.dataCentre(), {}, { cursor });
    Commands::MergeMembers(to).execute(request.members, now);
    auto response = Queries::ComposeGossip(to).response(request, {});
    Commands::MergeMembers(from).execute(response.members, now);
    cursor = response.pageCursor;
}

// Counts the updates caused by changes of a process's own record, and their encoded size.
class UpdateTraffic {
public:
    explicit UpdateTraffic(const MemberTable& table)
        : m_table(table)
        , m_last(Queries::LiveMembers(table).self())
    {
    }

    void recordUpdates()
    {
        auto self = Queries::LiveMembers(m_table).self();
        if (self.version != m_last.version) {
            ++fullUpdates;
            fullBytes += sizeOf(self);
        }
        if (self.sharedVersion != m_last.sharedVersion) {
            ++sharedUpdates;
            sharedBytes += sizeOf(self.sharedPart());
        }
        m_last = self;
    }

    size_t fullUpdates = 0;
    size_t sharedUpdates = 0;
    size_t fullBytes = 0;
    size_t sharedBytes = 0;

private:
    static size_t sizeOf(const Member& member)
    {
        ::lavenderloft::v1::Member message;
        Transport::encode(member, message);
        return message.ByteSizeLong();
    }

    const MemberTable& m_table;
    Member m_last;
};

} // namespace

// Guards against an outdated report that reverts a member to an earlier incarnation or marks a dead one as alive.
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
    clock.advance(Commands::suspicionTimeout);
    change.expire(clock.now());
    merge.execute({ makeMember("a", "one", 2) }, clock.now());
    cr_assert(statusOf(*table, "a") == Status::Dead);
    merge.execute({ makeMember("a", "one", 3) }, clock.now());
    cr_assert(statusOf(*table, "a") == Status::Alive);
}

// Guards against a live process being declared dead because one probe was lost.
Test(Membership, aSuspectRefutesByIncrementingItsVersion)
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

// Guards against a resumed process that continues to accept work after another one has taken over its VM name.
Test(Membership, aSupersededProcessLeaves)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    Commands::MergeMembers(*table).execute({ makeMember("self", "one", 9) }, clock.now());
    cr_assert(statusOf(*table, "self") == Status::Leaving);
}

// Guards against loaded adapters that are never announced to routers.
Test(Membership, adaptersOfAReplicaAreAnnounced)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    Commands::UpdateSelf(*table).execute([](Member& self) { self.replicas.resize(1); }, clock.now());
    auto before = table->viewHash();
    Commands::UpdateSelf(*table).execute([](Member& self) { self.replicas[0].adapters = { "a1" }; }, clock.now());
    cr_assert_neq(table->viewHash(), before);
}

// Guards against load changes or new revisions that cause a gossip update of every member.
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

// Guards against views that do not converge, and against a neighbour set that grows linearly with the fleet.
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

// Guards against complete records being sent to other data centres, and against changes outside the shared part
// that make the shared view hashes of two data centres differ.
Test(Membership, onlySharedPartsCrossDataCentres)
{
    Base::ManualClock clock;
    auto own = makeTable("a", clock.now());
    auto other = makeTable("b", clock.now(), "two");
    auto change = [&](std::function<void(Replica&)> change) {
        Commands::UpdateSelf(*own).execute([&](Member& self) { self.replicas.resize(1); change(self.replicas[0]); }, clock.now());
    };
    change([](Replica& replica) { replica = { "pool", "v1", "v2", ReplicaPhase::Fetching, 1, 10, "slow" }; });
    uint64_t cursor = 0;
    exchange(*own, *other, clock.now(), cursor);
    auto known = Queries::LiveMembers(*other).find("a").value();
    cr_assert(known == Queries::LiveMembers(*own).self().sharedPart());
    cr_assert(!known.hasDetail && !known.version && known.replicas[0].wantedDigest.empty() && known.replicas[0].reason.empty());
    cr_assert_eq(own->sharedViewHash(), other->sharedViewHash());

    change([](Replica& replica) { replica.chunksHeld = 9; replica.phase = ReplicaPhase::Waiting; });
    cr_assert_eq(own->sharedViewHash(), other->sharedViewHash());
    change([](Replica& replica) { replica.phase = ReplicaPhase::Loading; });
    cr_assert_neq(own->sharedViewHash(), other->sharedViewHash());
    exchange(*own, *other, clock.now(), cursor);
    change([](Replica& replica) { replica.adapters = { "adapter" }; });
    cr_assert_neq(own->sharedViewHash(), other->sharedViewHash());
    exchange(*own, *other, clock.now(), cursor);
    cr_assert(Queries::LiveMembers(*other).find("a")->replicas[0].adapters == std::vector<std::string> { "adapter" });
    cr_assert(Queries::LiveMembers(*other).find("a")->replicas[0].phase == ReplicaPhase::Loading);

    // A complete record of a member of another data centre is reduced to its shared part.
    auto full = makeMember("c", "one");
    full.load.running = 7;
    Commands::MergeMembers(*other).execute({ full }, clock.now());
    cr_assert(Queries::LiveMembers(*other).find("c").value() == full.sharedPart());
}

// Guards against a shared record that overwrites the complete record of a member of the local data centre, and
// against a suspicion raised in another data centre that is never refuted.
Test(Membership, sharedRecordsOfTheOwnDataCentreOnlyRaiseTheStatus)
{
    Base::ManualClock clock;
    auto own = makeTable("a", clock.now());
    auto peer = makeTable("b", clock.now());
    auto other = makeTable("c", clock.now(), "two");
    Commands::UpdateSelf(*own).execute([](Member& self) { self.replicas = { { "pool", "v1", "v2", ReplicaPhase::Fetching } }; }, clock.now());
    uint64_t cursor = 0;
    exchange(*own, *peer, clock.now(), cursor);
    exchange(*own, *other, clock.now(), cursor);
    Commands::ChangeStatus(*other).recordFailedProbe("a", clock.now());
    exchange(*peer, *other, clock.now(), cursor);
    auto known = Queries::LiveMembers(*peer).find("a").value();
    cr_assert(known.hasDetail && known.replicas[0].wantedDigest == "v2" && known.status == Status::Suspect);
    exchange(*peer, *own, clock.now(), cursor);
    exchange(*peer, *own, clock.now(), cursor);
    cr_assert(statusOf(*peer, "a") == Status::Alive);
    exchange(*peer, *other, clock.now(), cursor);
    cr_assert(statusOf(*other, "a") == Status::Alive);
}

// Guards against a rollout that gossips every progress step to all data centres. Of the steps of one replica, two
// are sent to other data centres, as shared records.
Test(Membership, aRolloutCrossesDataCentresTwiceForEachReplica)
{
    const std::string oldDigest(64, 'a');
    const std::string newDigest(64, 'b');
    Base::ManualClock clock;
    MemberTable table("saurashtra-target-123", "saurashtra-2");
    auto self = makeMember("saurashtra-target-123", "saurashtra-2");
    self.address = "10.20.30.40:7001";
    self.region = "saurashtra";
    self.role = Role::Agent;
    self.load = { 12, 64, 3, 1 << 20, true };
    self.replicas = { { "assistant", oldDigest, "", ReplicaPhase::Ready } };
    Commands::UpdateSelf update(table);
    update.insertSelf(self, clock.now());
    UpdateTraffic traffic(table);
    auto report = [&](const Replica& replica) {
        update.execute([&](Member& self) { self.replicas = { replica }; }, clock.now());
        traffic.recordUpdates();
    };
    for (unsigned held = 0; held <= 100; ++held)
        report({ "assistant", oldDigest, newDigest, ReplicaPhase::Fetching, held, 100 });
    report({ "assistant", oldDigest, newDigest, ReplicaPhase::Waiting, 100, 100 });
    report({ "assistant", oldDigest, newDigest, ReplicaPhase::Loading, 100, 100 });
    report({ "assistant", newDigest, "", ReplicaPhase::Ready, 100, 100 });
    cr_assert_eq(traffic.fullUpdates, 14);
    cr_assert_eq(traffic.sharedUpdates, 2);
    cr_assert_lt(traffic.sharedBytes * 8, traffic.fullBytes, "%zu bytes of shared parts, %zu of full records", traffic.sharedBytes, traffic.fullBytes);
}

// Guards against a change outside the shared part that is sent to other data centres as an update.
Test(Membership, sharedTransmissionsAreCountedSeparately)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    auto peer = makeMember("peer");
    Commands::MergeMembers(*table).execute({ peer }, clock.now());
    size_t messages = 0;
    auto sendAcross = [&] {
        auto message = Queries::ComposeGossip(*table).request("two", {}, {});
        Commands::RecordTransmission(*table).execute(message);
        return message.members.size() == 2;
    };
    while (sendAcross())
        cr_assert_lt(++messages, 20);
    ++peer.version;
    Commands::MergeMembers(*table).execute({ peer }, clock.now());
    cr_assert_not(sendAcross());
    cr_assert_eq(Queries::ComposeGossip(*table).request("one", {}, {}).members.size(), 2);
    ++peer.version;
    ++peer.sharedVersion;
    Commands::MergeMembers(*table).execute({ peer }, clock.now());
    cr_assert(sendAcross());
}

// Guards against pool reports that count members of other data centres or omit pools, and against a message
// size that grows with the number of pools.
Test(Membership, relaysReportEachPoolOfTheirOwnDataCentre)
{
    Base::ManualClock clock;
    auto table = makeTable("self", clock.now());
    auto addMember = [&](const std::string& vm, const std::string& dataCentre, uint64_t revision, const Replica& replica) {
        auto member = makeMember(vm, dataCentre);
        member.revision = revision;
        member.replicas = { replica };
        Commands::MergeMembers(*table).execute({ member }, clock.now());
    };
    Commands::UpdateSelf(*table).execute([](Member& self) { self.revision = 9; }, clock.now());
    addMember("a", "one", 8, { "pool", "v1", "", ReplicaPhase::Ready });
    addMember("b", "one", 7, { "pool", "v1", "v2", ReplicaPhase::Fetching, 1, 10, "slow" });
    addMember("c", "two", 1, { "pool", "v1", "", ReplicaPhase::Ready });
    auto reports = Queries::reportPools(*table, 0);
    cr_assert_eq(reports.size(), 1);
    cr_assert(reports[0] == (PoolReport { "one", "pool", 2, 1, 0, 1, 1, 7, {} }));

    constexpr size_t pools = 2 * Queries::maximumReportsPerMessage + 1;
    for (size_t i = 1; i < pools; ++i)
        addMember("vm" + std::to_string(i), "one", 9, { "pool" + std::to_string(i), "v1", "", ReplicaPhase::Ready });
    std::set<std::string> reported;
    for (size_t offset = 0; offset < pools; offset += Queries::maximumReportsPerMessage) {
        auto some = Queries::reportPools(*table, offset);
        cr_assert_eq(some.size(), Queries::maximumReportsPerMessage);
        for (auto& report : some)
            reported.insert(report.pool);
    }
    cr_assert_eq(reported.size(), pools);
}

// Guards against an outdated pool report that replaces a newer one, and against a summary that does not list
// stale reports.
Test(Membership, staleReportsAreListed)
{
    Base::ManualClock clock;
    clock.advance(1h);
    PoolReportTable table;
    table.merge({ { "two", "pool", 3, 3, 0, 0, 0, 9, 1s } }, clock.now());
    table.merge({ { "two", "pool", 3, 1, 0, 2, 0, 8, 5s } }, clock.now());
    FleetStatus status;
    status.revision = 9;
    status.poolReports = table.all(clock.now());
    cr_assert(status.poolReports.size() == 1 && status.poolReports[0].ready == 3 && status.poolReports[0].age == 1s);
    auto summary = Queries::summarizeFleet(status);
    cr_assert(summary.partial.empty() && summary.pools["pool"].ready == 3);
    clock.advance(Queries::staleReportAge);
    status.poolReports = table.all(clock.now());
    cr_assert_eq(Queries::summarizeFleet(status).partial.size(), 1);
    clock.advance(PoolReportTable::retention);
    cr_assert(table.all(clock.now()).empty());

    // A data centre with replicas but without a report is listed as well.
    auto far = makeMember("far", "two");
    far.replicas = { { "pool", "v1" } };
    status.poolReports.clear();
    status.members = { far.sharedPart() };
    cr_assert_eq(Queries::summarizeFleet(status).partial.size(), 1);
}

// Guards against a process that pages through the whole view to find one missing member. With six members per
// exchange, 200 views took 34 s to converge.
Test(Membership, aMissingMemberIsFoundWithinItsPartOfTheView)
{
    constexpr size_t count = 1000;
    Base::ManualClock clock;
    auto whole = makeTable("whole", clock.now());
    auto partial = makeTable("partial", clock.now());
    // The member that is last in page order.
    std::string missing = "vm0";
    for (size_t i = 1; i < count; ++i)
        missing = std::max(missing, "vm" + std::to_string(i), [](auto& a, auto& b) { return Base::stableHash(a) < Base::stableHash(b); });
    for (size_t i = 0; i < count; ++i) {
        auto member = makeMember("vm" + std::to_string(i));
        Commands::MergeMembers(*whole).execute({ member }, clock.now());
        if (member.vm != missing)
            Commands::MergeMembers(*partial).execute({ member }, clock.now());
    }
    // Exhausts the transmission limit, so that only pages carry the missing member.
    for (auto* table : { whole.get(), partial.get() }) {
        for (size_t i = 0; i < count; ++i) {
            auto vm = "vm" + std::to_string(i);
            table->entries().withShard(vm, [&](auto& entries) {
                if (auto found = entries.find(vm); found != entries.end())
                    found->second.transmitCount = 1000;
            });
        }
    }
    uint64_t cursor = 0;
    size_t exchanges = 0;
    for (; partial->entries().size() < whole->entries().size(); ++exchanges) {
        cr_assert_lt(exchanges, count / MemberTable::partCount / 3);
        exchange(*partial, *whole, clock.now(), cursor);
    }
}
