#include "Base/ManualClock.h"
#include "Base/SeededRandom.h"
#include "Staging/PieceChecklist.h"
#include "Staging/Queries/DistributeGrants.h"
#include "Staging/Queries/PlanLoad.h"
#include "Staging/SourceHealth.h"
#include "Staging/UploadPacer.h"

#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;
using namespace std::chrono_literals;

// Guards against uploads that saturate the link over which the engine's responses are sent.
Test(UploadPacer, staysWithinItsShareOfTheLink)
{
    // 800 bytes a second for uploads.
    UploadPacer pacer(6400 / UploadPacer::linkShare);
    Base::ManualClock clock;
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
    auto second = pacer.reserve(800, clock.now());
    cr_assert(second.has_value());
    cr_assert(std::chrono::abs(*second - 1s) < 1ms);
    cr_assert_not(pacer.reserve(800, clock.now()).has_value(), "the receiver should use another source");
    clock.advance(2s);
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
}

// Guards against accepting a piece of which a byte has changed.
Test(PieceChecklist, detectsACorruptPiece)
{
    PieceChecklist checklist({ "m", 2, { Base::sha256("first"), Base::sha256("second") } });
    cr_assert(checklist.matches(0, "first"));
    cr_assert_not(checklist.matches(0, "Second"));
    cr_assert_not(checklist.matches(2, "first"));
    checklist.markPresent(0);
    cr_assert_not(checklist.isComplete());
    cr_assert_eq(checklist.missing().size(), 1);
    checklist.markPresent(1);
    cr_assert(checklist.isComplete());
    checklist.markMissing(0);
    cr_assert_eq(checklist.missing().front(), 0);
}

// Guards against a failed agent whose pieces are not reassigned, and against one that is never used again.
Test(SourceHealth, avoidsAnAgentForAWhile)
{
    SourceHealth health;
    Base::ManualClock clock;
    health.recordUnreachable("a", clock.now());
    cr_assert(health.isAvoided("a", clock.now()));
    cr_assert_not(health.isAvoided("b", clock.now()));
    clock.advance(SourceHealth::avoidancePeriod);
    cr_assert_not(health.isAvoided("a", clock.now()));
}

// Guards against granting one free slot to two routers, and against routers that never get a grant.
Test(DistributeGrants, grantsEachSlotOnce)
{
    std::vector<Peering::PeerRouter> routers { { "a", "dc-a", {}, 0, 10 }, { "b", "dc-b", {}, 0, 10 }, { "c", "dc-b", {}, 0, 0 } };
    Base::SeededRandom random(7);
    std::map<std::string, unsigned> granted;
    for (int round = 0; round < 300; ++round) {
        auto grants = Queries::distributeGrants(2, routers, "dc-a", random);
        unsigned total = 0;
        for (auto& [router, count] : grants) {
            total += count;
            granted[router] += count;
        }
        cr_assert_eq(total, 2);
    }
    cr_assert_gt(granted["a"], granted["b"], "the router in the engine's data centre is preferred");
    cr_assert_gt(granted["c"], 0, "a router with unknown demand gets some grants");
    cr_assert(Queries::distributeGrants(3, {}, "dc-a", random).empty());
}

// Guards against engines that all stop at once to load new weights, and against loads that start too late to meet the
// deadline.
Test(PlanLoad, staggersLoadsWithinTheDeadline)
{
    Fleet::FleetSnapshot snapshot;
    for (int i = 0; i < 12; ++i) {
        Fleet::KnownTarget target;
        target.entry.address = { "10.0.0." + std::to_string(i), 1 };
        snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(target));
    }
    Base::ManualClock clock;
    Fleet::DeclaredWeights declared { 2, clock.now() };
    std::map<Base::TimePoint, unsigned> starts;
    for (int i = 0; i < 12; ++i) {
        Fleet::NodeSettings settings;
        settings.address = "10.0.0." + std::to_string(i);
        settings.localService = "e";
        ++starts[Queries::planLoad(snapshot, settings, "m", declared, 1).startAt];
    }
    cr_assert_geq(starts.size(), 3);
    for (auto& [start, engines] : starts) {
        cr_assert_leq(engines, 4);
        cr_assert(start - declared.learnedAt < Fleet::FleetBounds().weights - 2s);
    }
}

// Guards against engines that keep serving weights past their deadline because a second version is declared before
// they have loaded the first: the deadline of the first declaration still applies.
Test(PlanLoad, aLaterDeclarationDoesNotPostponeTheLoad)
{
    Fleet::FleetSnapshot snapshot;
    for (int i = 0; i < 2; ++i) {
        Fleet::KnownTarget target;
        target.entry.address = { "10.0.0." + std::to_string(i), 1 };
        snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(target));
    }
    Base::ManualClock clock;
    Fleet::DeclaredWeights first { 2, clock.now() };
    Fleet::DeclaredWeights second { 3, clock.now() + 3s };
    snapshot.weights["m"] = { first, second };
    Fleet::NodeSettings settings;
    settings.address = "10.0.0.0";
    settings.localService = "e";
    auto holdsOldest = Queries::planLoad(snapshot, settings, "m", second, 1).startAt;
    auto holdsFirst = Queries::planLoad(snapshot, settings, "m", second, 2).startAt;
    cr_assert(holdsOldest < first.learnedAt + Fleet::FleetBounds().weights - 2s);
    cr_assert(holdsFirst == holdsOldest + 3s);
}

namespace {

// A configuration with one route to the service.
std::shared_ptr<const Fleet::Configuration> routesTo(const std::string& service, Fleet::RequestKind kind, bool resumable)
{
    auto route = std::make_shared<Fleet::Route>();
    route->kind = kind;
    route->resumable = resumable;
    route->services = { { service, 1 } };
    auto configuration = std::make_shared<Fleet::Configuration>();
    configuration->routes["h"] = { route };
    return configuration;
}

// Number of engines, out of twelve, that would abort their running requests.
unsigned countAbortingEngines(const std::shared_ptr<const Fleet::Configuration>& configuration)
{
    Fleet::FleetSnapshot snapshot;
    snapshot.configuration = configuration;
    for (int i = 0; i < 12; ++i) {
        Fleet::KnownTarget target;
        target.entry.address = { "10.0.0." + std::to_string(i), 1 };
        snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(target));
    }
    unsigned aborting = 0;
    for (int i = 0; i < 12; ++i) {
        Fleet::NodeSettings settings;
        settings.address = "10.0.0." + std::to_string(i);
        settings.localService = "e";
        aborting += Queries::planLoad(snapshot, settings, "m", { 2, {} }, 1).mode == LoadMode::AbortRunning;
    }
    return aborting;
}

} // namespace

// Guards against a weight update that aborts requests which can't be resumed, or that leaves too few engines to take
// over the aborted ones.
Test(PlanLoad, abortsOnlyResumableRequests)
{
    auto aborting = countAbortingEngines(routesTo("e", Fleet::RequestKind::Stream, true));
    cr_assert_geq(aborting, 6);
    cr_assert_leq(aborting, 9);
    cr_assert_eq(countAbortingEngines(routesTo("e", Fleet::RequestKind::Stream, false)), 0);
    cr_assert_eq(countAbortingEngines(routesTo("e", Fleet::RequestKind::Idempotent, false)), 0, "the response would start over");
    cr_assert_eq(countAbortingEngines(nullptr), 0);
}

// Guards against new engines that compete with serving engines for bandwidth during a weight update: the serving ones
// must stop using the previous weights at the deadline.
Test(EarliestFetch, idleEnginesFetchAfterServingOnes)
{
    Fleet::FleetSnapshot snapshot;
    Fleet::NodeSettings settings;
    settings.address = "10.0.0.9";
    settings.localService = "e";
    Base::ManualClock clock;
    Fleet::DeclaredWeights declared { 2, clock.now() };
    cr_assert(Queries::earliestFetch(snapshot, settings, declared, 16) == declared.learnedAt);
    Fleet::KnownTarget serving;
    serving.entry.address = { "10.0.0.1", 1 };
    serving.entry.layers = Fleet::HeldLayers { 0, 16, 1 };
    snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(serving));
    auto earliest = Queries::earliestFetch(snapshot, settings, declared, 16);
    cr_assert(earliest > declared.learnedAt + 2s);
    cr_assert(earliest < declared.learnedAt + Fleet::FleetBounds().weights - 3s);
    // No engine serves an older version: they have lost their weights, or have loaded the declared ones.
    for (uint64_t version : { 0, 2 }) {
        serving.entry.layers = version > 0 ? std::optional(Fleet::HeldLayers { 0, 16, version }) : std::nullopt;
        snapshot.targetsByService["e"] = { std::make_shared<Fleet::KnownTarget>(serving) };
        cr_assert(Queries::earliestFetch(snapshot, settings, declared, 16) == declared.learnedAt);
    }
}
