#include "Base/RendezvousHash.h"
#include "Routing/Commands/ResetRemoteLoads.h"
#include "Routing/Queries/ReadRequest.h"
#include "Routing/Queries/SelectTarget.h"
#include "Routing/RoundRobinPolicy.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

namespace {

Queries::Selection select(RoutingFixture& fixture, const Targets& tried = {})
{
    return Queries::selectTarget(fixture.targets, fixture.poolRequest(), tried, fixture.policy, fixture.random, fixture.clock.now());
}

std::set<std::string> targetsOf(RoutingFixture& fixture, const TargetPolicy& policy, int draws = 500)
{
    std::set<std::string> vms;
    for (int i = 0; i < draws; ++i) {
        auto selection = Queries::selectTarget(fixture.targets, fixture.poolRequest(), {}, policy, fixture.random, fixture.clock.now());
        if (selection.target)
            vms.insert(selection.target->vm());
    }
    return vms;
}

void addMembers(RoutingFixture& fixture, const std::string& prefix, unsigned count, const std::string& dataCentre, const std::string& region)
{
    for (unsigned i = 1; i <= count; ++i)
        fixture.members.push_back(RoutingFixture::makeMember(prefix + std::to_string(i), dataCentre, region, "pool", RoutingFixture::digest));
    fixture.update();
}

Base::Result<LiveRequest, RoutingError> read(RoutingFixture& fixture, std::string path, Headers headers)
{
    CallerRequest message { "POST", std::move(path), std::move(headers), "body" };
    return Queries::readRequest(std::move(message), fixture.document, { fixture.clock.now(), fixture.clock.wallTime() }, fixture.random);
}

} // namespace

// Guards against sending requests to a data centre taken out of service and to VMs that are drained, leaving, without
// complete weights or not accepting requests (invariants I3 and I7).
Test(Selection, excludesTargetsThatAcceptNoRequests)
{
    RoutingFixture fixture(1);
    addMembers(fixture, "out", 3, "dc-2", "r-1");
    addMembers(fixture, "bad", 4, "dc-1", "r-1");
    fixture.document.dataCentres[1].state = DesiredState::DataCentreState::Out;
    fixture.document.drains = { "bad1" };
    for (auto& member : fixture.members) {
        if (member.vm == "bad2")
            member.status = Membership::Status::Leaving;
        if (member.vm == "bad3")
            member.replicas[0].servingDigest.clear();
        if (member.vm == "bad4")
            member.load.accepting = false;
    }
    fixture.update();
    cr_assert(targetsOf(fixture, fixture.policy) == std::set<std::string> { "t1" });
    cr_assert(targetsOf(fixture, RoundRobinPolicy()) == std::set<std::string> { "t1" });
    fixture.document.dataCentres[0].state = DesiredState::DataCentreState::Out;
    fixture.document.dataCentres[1].state = DesiredState::DataCentreState::In;
    fixture.update();
    cr_assert(targetsOf(fixture, fixture.policy) == (std::set<std::string> { "out1", "out2", "out3" }), "a data centre that has returned to service receives requests again");
}

// Guards against excluding targets in other data centres because their load is unknown, and against a target that
// counts as full indefinitely because it was full at its last response.
Test(Selection, usesTargetsKnownByTheirSharedPart)
{
    RoutingFixture fixture(0);
    addMembers(fixture, "far", 1, "dc-2", "r-1");
    fixture.members.back() = fixture.members.back().sharedPart();
    fixture.update();
    auto target = select(fixture).target;
    cr_assert(target && target->vm() == "far1");
    Membership::TargetLoad full;
    full.running = full.limit = 4;
    target->setLoad(full);
    fixture.update();
    cr_assert_eq(target->relativeLoad(), 1);
    Commands::resetRemoteLoads(fixture.targets);
    cr_assert_eq(target->relativeLoad(), 0);
}

// Guards against a rollout during which no target is ready. The previous weights must serve until the new ones are
// complete, and each response must come from its target's version.
Test(Selection, usesTargetsThatStillServeThePreviousVersion)
{
    RoutingFixture fixture(2);
    for (auto& member : fixture.members)
        member.replicas[0].servingDigest = member.vm == "t1" ? "old" : RoutingFixture::digest;
    fixture.update();
    cr_assert(targetsOf(fixture, fixture.policy) == (std::set<std::string> { "t1", "t2" }));
    cr_assert(fixture.targets.vms().find("t1").value()->servingDigest() == "old");
    cr_assert(fixture.targets.vms().find("t2").value()->servingDigest() == RoutingFixture::digest);
}

// Guards against sending a request for an adapter to a target that has not loaded it.
Test(Selection, usesOnlyTargetsThatReportTheAdapter)
{
    RoutingFixture fixture(3);
    auto vmsWith = [&](const std::string& adapter) {
        std::set<std::string> vms;
        auto request = fixture.poolRequest();
        request.adapter = adapter;
        for (int i = 0; i < 200; ++i) {
            if (auto target = Queries::selectTarget(fixture.targets, request, {}, fixture.policy, fixture.random, fixture.clock.now()).target)
                vms.insert(target->vm());
        }
        return vms;
    };
    for (auto& member : fixture.members) {
        if (member.vm == "t2")
            member.replicas[0].adapters = { "a0", "a1" };
    }
    fixture.update();
    cr_assert(vmsWith("a1") == std::set<std::string> { "t2" });
    cr_assert(vmsWith("a2").empty());
    cr_assert(vmsWith("") == (std::set<std::string> { "t1", "t2", "t3" }));
    for (auto& member : fixture.members)
        member.replicas[0].adapters.clear();
    fixture.update();
    cr_assert(vmsWith("a1").empty(), "a target that no longer reports the adapter receives no request for it");
    fixture.document.routes = { { "/repair", DesiredState::RouteKind::ToPool, "pool", true, {}, "a1" } };
    cr_assert(Base::valueOf(read(fixture, "/repair", {})).adapter == "a1");
}

// Guards against using slow links while near targets are free, and against never leaving a tier.
Test(Selection, usesNearTiersFirstAndLeavesThemAfterRefusals)
{
    RoutingFixture fixture(4);
    addMembers(fixture, "region", 4, "dc-2", "r-1");
    addMembers(fixture, "far", 4, "dc-3", "r-2");
    Targets tried;
    std::vector<std::string_view> reasons;
    for (int i = 0; i < 6; ++i) {
        auto selection = select(fixture, tried);
        tried.push_back(selection.target);
        reasons.push_back(selection.reason);
    }
    cr_assert(reasons == (std::vector<std::string_view> { "same-data-centre", "same-data-centre", "same-region", "same-region", "other-region", "other-region" }));
}

// Guards against queueing at full or cold targets of the local data centre while others have free slots.
Test(Selection, skipsATierWithoutAFreeSlot)
{
    RoutingFixture fixture(2);
    addMembers(fixture, "region", 2, "dc-2", "r-1");
    auto load = [&](const std::string& vm, unsigned running, unsigned limit) {
        (*fixture.targets.vms().find(vm))->setLoad({ running, limit, 0, 0, true });
    };
    load("t1", 2, 2);
    load("t2", 3, 2);
    cr_assert(targetsOf(fixture, fixture.policy) == (std::set<std::string> { "region1", "region2" }));
    load("region1", 32, 16);
    load("region2", 32, 16);
    cr_assert(targetsOf(fixture, fixture.policy) == std::set<std::string> { "t1" }, "without a free slot, the least loaded target is selected");
    load("t2", 1, 2);
    cr_assert(targetsOf(fixture, fixture.policy) == std::set<std::string> { "t2" });
}

// Guards against connections to every target of a large pool, and against a subset without remote targets.
Test(Selection, keepsASubsetOfALargePool)
{
    RoutingFixture fixture(0);
    addMembers(fixture, "near", 200, "dc-1", "r-1");
    addMembers(fixture, "far", 200, "dc-3", "r-2");
    auto subset = *fixture.targets.pools().find("pool");
    auto far = std::count_if(subset->begin(), subset->end(), [](auto& target) { return target->tier() == Tier::OtherRegion; });
    cr_assert_eq(subset->size(), Commands::subsetSize);
    cr_assert_eq(far, Commands::subsetReserve);
}

// Guards against ignoring reported loads, and against overloading a target by prefix affinity.
Test(Selection, prefersTheLessLoadedTarget)
{
    RoutingFixture fixture(2);
    auto load = [&](const std::string& vm, unsigned running) {
        (*fixture.targets.vms().find(vm))->setLoad({ running, 16, 0, 0, true });
    };
    load("t1", 16);
    load("t2", 1);
    cr_assert(targetsOf(fixture, fixture.policy) == std::set<std::string> { "t2" });
    auto request = fixture.poolRequest();
    request.prefix = 5;
    auto choose = [&] { return Queries::selectTarget(fixture.targets, request, {}, fixture.policy, fixture.random, fixture.clock.now()).target->vm(); };
    load("t1", 4);
    load("t2", 4);
    auto holder = choose();
    auto other = holder == "t1" ? "t2" : "t1";
    load(holder, 6);
    cr_assert(choose() == holder, "1.5 times the load is within the limit of prefix affinity");
    load(holder, 7);
    cr_assert(choose() == other);
}

// Guards against two homes of one key, and against a home that changes with the state of the VMs.
Test(Selection, keepsTheKeyHomeWhileMembersChange)
{
    RoutingFixture fixture(5);
    auto request = fixture.booking("k1");
    auto home = Queries::keyHome(request);
    auto chosen = [&] { return Queries::selectTarget(fixture.targets, request, {}, fixture.policy, fixture.random, fixture.clock.now()).target; };
    cr_assert(chosen()->vm() == home);
    std::erase_if(fixture.members, [&](auto& member) { return member.vm == home; });
    fixture.update();
    cr_assert_not(chosen(), "a call must not run on another VM when the home of its key is unavailable");
}

// Guards against ignoring invalid headers or replacing them by defaults.
Test(ReadRequest, parsesHeadersAndNamesTheInvalidOne)
{
    RoutingFixture fixture;
    fixture.document.routes = { { "/pool", DesiredState::RouteKind::ToPool, "pool", true, {} }, { "/ledger", DesiredState::RouteKind::ToService, "ledger", false, {} } };
    auto good = read(fixture, "/pool", { { "x-organisation", "school-2" }, { "X-Priority", "hazard" }, { "X-Deadline-Ms", "1500" } });
    cr_assert(Base::succeeded(good));
    cr_assert(Base::valueOf(good).organisation == "school-2");
    cr_assert(Base::valueOf(good).priorityClass == DesiredState::PriorityClass::Hazard);
    cr_assert(Base::valueOf(good).deadline == fixture.clock.now() + 1500ms);
    for (auto& header : Headers { { "X-Priority", "urgent" }, { "X-Deadline-Ms", "-1" }, { "X-Deadline-Ms", "10s" }, { "X-Organisation", "" }, { "Idempotency-Key", std::string(200, 'k') } }) {
        auto bad = read(fixture, "/ledger", { header });
        cr_assert_not(Base::succeeded(bad));
        cr_assert(Base::errorOf(bad).code == ErrorCode::MalformedHeader);
        cr_assert(Base::errorOf(bad).message.find(header.name) != std::string::npos);
    }
    cr_assert(Base::errorOf(read(fixture, "/other", {})).code == ErrorCode::NoRoute);
}

// Guards against generating the same key for two calls, which would suppress the second one.
Test(ReadRequest, generatesAKeyForEachCallWithoutOne)
{
    RoutingFixture fixture;
    fixture.document.routes = { { "/ledger", DesiredState::RouteKind::ToService, "ledger", false, {} } };
    auto first = Base::valueOf(read(fixture, "/ledger", {})).key;
    auto second = Base::valueOf(read(fixture, "/ledger", {})).key;
    cr_assert(first != second);
    cr_assert_eq(first.size(), 36);
    cr_assert_eq(first[14], '7');
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(fixture.clock.wallTime().time_since_epoch()).count();
    cr_assert_eq(std::stoll(first.substr(0, 8) + first.substr(9, 4), nullptr, 16), milliseconds);
    fixture.document.services[0].paused = true;
    cr_assert(Base::errorOf(read(fixture, "/ledger", {})).code == ErrorCode::ServicePaused);
}
