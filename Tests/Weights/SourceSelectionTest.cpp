#include "Weights/Queries/SourceSelection.h"
#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Weights/Commands/OriginCommands.h"
#include "Weights/Queries/OriginQueries.h"
#include "Weights/Queries/Participants.h"
#include "Weights/TransferLifeCycle.h"
#include "Weights/TransferLimits.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Weights;
using namespace std::chrono_literals;

namespace {

Membership::Member agent(const std::string& vm, const std::string& wanted, const std::string& pool = "")
{
    Membership::Member member;
    member.vm = vm;
    member.role = Membership::Role::Agent;
    member.replicas.emplace_back();
    member.replicas.back().wantedDigest = wanted;
    member.replicas.back().pool = pool;
    return member;
}

std::vector<std::string> namesOf(const std::vector<Participant>& participants)
{
    std::vector<std::string> names;
    for (auto& participant : participants)
        names.push_back(participant.vm);
    return names;
}

} // namespace

// Guards against chunks owned by agents that want another version, by leaving agents or by routers, and against adapters
// without participants.
Test(Participants, areTheAgentsThatWantTheManifest)
{
    DesiredState::Document document;
    document.pools.emplace_back();
    document.pools.back().name = "pool";
    document.pools.back().adapters = { "adapter" };
    std::vector<Membership::Member> members { agent("c", "x"), agent("b", "other"), agent("d", "x"), agent("e", "x"), agent("f", "model", "pool") };
    members[2].status = Membership::Status::Leaving;
    members[3].role = Membership::Role::Router;
    Participant self { "a", "", "", "" };
    cr_assert(namesOf(Queries::findParticipants(members, &document, "x", self)) == std::vector<std::string>({ "a", "c" }));
    cr_assert(namesOf(Queries::findParticipants(members, &document, "adapter", self)) == std::vector<std::string>({ "a", "f" }));
    cr_assert(namesOf(Queries::findParticipants(members, nullptr, "adapter", self)) == std::vector<std::string>({ "a" }));
}

// Guards against every agent requesting the manifest from the origin, and against waiting for an owner that is gone.
Test(ManifestSource, isTheOriginForTheOwnerOnlyUntilTheDeadline)
{
    Base::SeededRandom random(1);
    std::vector<Participant> all { { "a", "", "", "store" }, { "b", "", "", "store" }, { "c", "", "", "store" } };
    auto ownership = Queries::assignManifestOwnership("digest", all, "store", "store");
    auto asksOrigin = [&](size_t rank, Base::Duration elapsed) {
        Participant self { ownership.ranked[rank], "", "", "store" };
        std::vector<Participant> neighbours;
        std::copy_if(all.begin(), all.end(), std::back_inserter(neighbours), [&](auto& other) { return other.vm != self.vm; });
        return Queries::chooseManifestSource(ownership, self, neighbours, 0, elapsed, random).origin;
    };
    cr_assert(asksOrigin(0, 0ms));
    cr_assert_not(asksOrigin(1, takeOverDeadline - 1ms));
    cr_assert(asksOrigin(1, takeOverDeadline));
    cr_assert_not(asksOrigin(2, takeOverDeadline));
    cr_assert(asksOrigin(2, 2 * takeOverDeadline));
}

// Guards against external downloads while the list of participants is still changing, and against waiting indefinitely.
Test(Participants, settleBeforeExternalDownloads)
{
    Base::ManualClock clock;
    auto begin = clock.now();
    cr_assert_not(Queries::areParticipantsSettled(begin, begin, begin + participantsSettleTime - 1ms));
    cr_assert(Queries::areParticipantsSettled(begin, begin, begin + participantsSettleTime));
    cr_assert(Queries::areParticipantsSettled(begin, begin + participantsSettleTimeout, begin + participantsSettleTimeout));
}

// Guards against requests without backoff to a failing weight store.
Test(Origin, isAskedAgainAfterAGrowingBackoff)
{
    Base::ManualClock clock;
    OriginRecord record;
    cr_assert(Queries::isOriginUsable(record, clock.now()));
    Commands::recordOriginFailure(record, clock.now());
    cr_assert_not(Queries::isOriginUsable(record, clock.now() + initialOriginBackoff - 1ms));
    cr_assert(Queries::isOriginUsable(record, clock.now() + initialOriginBackoff));
    for (int i = 0; i < 20; ++i)
        Commands::recordOriginFailure(record, clock.now());
    cr_assert_not(Queries::isOriginUsable(record, clock.now() + maximumOriginBackoff - 1ms));
    cr_assert(Queries::isOriginUsable(record, clock.now() + maximumOriginBackoff));
    Commands::recordOriginSuccess(record);
    Commands::recordOriginFailure(record, clock.now());
    cr_assert(Queries::isOriginUsable(record, clock.now() + initialOriginBackoff));
}

// Guards against a withdrawn or failed transfer that a late event marks as complete.
Test(TransferLifeCycle, ignoresEventsThatComeTooLate)
{
    TransferLifeCycle complete;
    cr_assert_not(complete.complete());
    cr_assert(complete.acceptManifest());
    cr_assert_not(complete.fail());
    cr_assert(complete.complete());
    cr_assert(complete.phase() == TransferPhase::Complete);
    cr_assert(complete.withdraw());
    cr_assert_not(complete.acceptManifest());
    cr_assert(complete.phase() == TransferPhase::Stopped);
    TransferLifeCycle failed;
    cr_assert(failed.fail());
    cr_assert_not(failed.acceptManifest());
    cr_assert_not(failed.complete());
    cr_assert(failed.phase() == TransferPhase::Failed);
}

// Guards against a region that fetches chunks from the origin because it has not learned yet that the store's region
// fetches them, and against waiting indefinitely when no agent there wants the manifest.
Test(Participants, ofTheStoreRegionAreAwaitedUntilTheTimeout)
{
    Base::ManualClock clock;
    auto since = clock.now();
    Participant inStoreRegion { "a", "", "", "store" };
    Participant elsewhere { "b", "", "", "far" };
    cr_assert(Queries::isStoreRegionAwaited({ elsewhere }, elsewhere, "store", since, clock.now()));
    cr_assert_not(Queries::isStoreRegionAwaited({ inStoreRegion, elsewhere }, elsewhere, "store", since, clock.now()));
    cr_assert_not(Queries::isStoreRegionAwaited({ inStoreRegion }, inStoreRegion, "store", since, clock.now()));
    clock.advance(participantsSettleTimeout);
    cr_assert_not(Queries::isStoreRegionAwaited({ elsewhere }, elsewhere, "store", since, clock.now()));
}
