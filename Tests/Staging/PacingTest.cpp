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

// Guards against pieces that fill the link over which the engine's answers leave.
Test(UploadPacer, keepsToItsPartOfTheLink)
{
    // 800 bytes a second for uploads.
    UploadPacer pacer(6400 / UploadPacer::linkShare);
    Base::ManualClock clock;
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
    auto second = pacer.reserve(800, clock.now());
    cr_assert(second.has_value());
    cr_assert(std::chrono::abs(*second - 1s) < 1ms);
    cr_assert_not(pacer.reserve(800, clock.now()).has_value(), "a receiver is to ask elsewhere");
    clock.advance(2s);
    cr_assert(pacer.reserve(800, clock.now()) == Base::Duration::zero());
}

// Guards against pieces that are taken for right though a byte of them has changed.
Test(PieceChecklist, tellsASpoiltPiece)
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

// Guards against a dead agent whose duties nobody takes over, and against one that is never asked again.
Test(SourceHealth, avoidsAnAgentForAWhile)
{
    SourceHealth health;
    Base::ManualClock clock;
    health.noteUnreachable("a", clock.now());
    cr_assert(health.isAvoided("a", clock.now()));
    cr_assert_not(health.isAvoided("b", clock.now()));
    clock.advance(SourceHealth::avoidance);
    cr_assert_not(health.isAvoided("a", clock.now()));
}

// Guards against one free place that is given to two routers, and against routers that get nothing.
Test(DistributeGrants, dealsEachPlaceOnce)
{
    std::vector<Peering::PeerRouter> routers { { "a", "dc-a", {}, 0, 10 }, { "b", "dc-b", {}, 0, 10 }, { "c", "dc-b", {}, 0, 0 } };
    Base::SeededRandom random(7);
    std::map<std::string, unsigned> dealt;
    for (int round = 0; round < 300; ++round) {
        auto grants = Queries::distributeGrants(2, routers, "dc-a", random);
        unsigned total = 0;
        for (auto& [router, count] : grants) {
            total += count;
            dealt[router] += count;
        }
        cr_assert_eq(total, 2);
    }
    cr_assert_gt(dealt["a"], dealt["b"], "the router in the engine's data centre comes first");
    cr_assert_gt(dealt["c"], 0, "a router whose demand is unknown gets some");
    cr_assert(Queries::distributeGrants(3, {}, "dc-a", random).empty());
}

// Guards against engines that all stop at once to load new weights, and against turns that end after the
// bound for them.
Test(PlanLoad, enginesTakeTurnsWithinTheBound)
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
        ++starts[Queries::planLoad(snapshot, settings, "m", declared, 1).turn];
    }
    cr_assert_geq(starts.size(), 3);
    for (auto& [start, engines] : starts) {
        cr_assert_leq(engines, 4);
        cr_assert(start - declared.learnedAt < Fleet::FleetBounds().weights - 2s);
    }
}

// Guards against engines that go on with weights which are no longer allowed because a second version was declared
// before they had loaded the first: the bound of the first one still holds.
Test(PlanLoad, aLaterDeclarationDoesNotPutTheTurnOff)
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
    auto holdsOldest = Queries::planLoad(snapshot, settings, "m", second, 1).turn;
    auto holdsFirst = Queries::planLoad(snapshot, settings, "m", second, 2).turn;
    cr_assert(holdsOldest < first.learnedAt + Fleet::FleetBounds().weights - 2s);
    cr_assert(holdsFirst == holdsOldest + 3s);
}

namespace {

// Routes to one service, all of the kind and resumable or not.
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

// Engines of twelve that would cut off their requests.
unsigned countCutting(const std::shared_ptr<const Fleet::Configuration>& configuration)
{
    Fleet::FleetSnapshot snapshot;
    snapshot.configuration = configuration;
    for (int i = 0; i < 12; ++i) {
        Fleet::KnownTarget target;
        target.entry.address = { "10.0.0." + std::to_string(i), 1 };
        snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(target));
    }
    unsigned cutting = 0;
    for (int i = 0; i < 12; ++i) {
        Fleet::NodeSettings settings;
        settings.address = "10.0.0." + std::to_string(i);
        settings.localService = "e";
        cutting += Queries::planLoad(snapshot, settings, "m", { 2, {} }, 1).mode == LoadMode::AbortRunning;
    }
    return cutting;
}

} // namespace

// Guards against a change of weights that cuts off what can't be resumed, or leaves no engine that takes what was
// cut off.
Test(PlanLoad, cutsOffOnlyWhatCanBeResumedElsewhere)
{
    auto cutting = countCutting(routesTo("e", Fleet::RequestKind::Stream, true));
    cr_assert_geq(cutting, 6);
    cr_assert_leq(cutting, 9);
    cr_assert_eq(countCutting(routesTo("e", Fleet::RequestKind::Stream, false)), 0);
    cr_assert_eq(countCutting(routesTo("e", Fleet::RequestKind::Idempotent, false)), 0, "its answer would begin anew");
    cr_assert_eq(countCutting(nullptr), 0);
}

// Guards against engines that are added during a change of weights and take the links from those that serve: these
// have to give up the former weights at the bound.
Test(EarliestFetch, enginesThatServeNothingComeAfterThoseThatDo)
{
    Fleet::FleetSnapshot snapshot;
    Fleet::NodeSettings settings;
    settings.address = "10.0.0.9";
    settings.localService = "e";
    Base::ManualClock clock;
    Fleet::DeclaredWeights wanted { 2, clock.now() };
    cr_assert(Queries::earliestFetch(snapshot, settings, wanted, 16) == wanted.learnedAt);
    Fleet::KnownTarget serving;
    serving.entry.address = { "10.0.0.1", 1 };
    serving.entry.layers = Fleet::HeldLayers { 0, 16, 1 };
    snapshot.targetsByService["e"].push_back(std::make_shared<Fleet::KnownTarget>(serving));
    auto earliest = Queries::earliestFetch(snapshot, settings, wanted, 16);
    cr_assert(earliest > wanted.learnedAt + 2s);
    cr_assert(earliest < wanted.learnedAt + Fleet::FleetBounds().weights - 3s);
    // All engines lost their weights, or have the new ones.
    for (uint64_t version : { 0, 2 }) {
        serving.entry.layers = version > 0 ? std::optional(Fleet::HeldLayers { 0, 16, version }) : std::nullopt;
        snapshot.targetsByService["e"] = { std::make_shared<Fleet::KnownTarget>(serving) };
        cr_assert(Queries::earliestFetch(snapshot, settings, wanted, 16) == wanted.learnedAt);
    }
}
