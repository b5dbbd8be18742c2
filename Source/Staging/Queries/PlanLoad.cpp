#include "Staging/Queries/PlanLoad.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    // Parts of the bound for new weights at which the first and the last engine begin to load. Before the first
    // the pieces are on their way; after the last the requests under way have to end before the bound.
    constexpr double firstTurnShare = 0.43;
    constexpr double lastTurnShare = 0.73;

    // Part of the bound after which engines that serve nothing fetch pieces; the others have theirs by then.
    constexpr double newcomerShare = 0.58;

    // The declaration whose bound ends first among those that the engine does not meet yet.
    Base::TimePoint earliestDeclaration(const Fleet::FleetSnapshot& snapshot, const std::string& model, const Fleet::DeclaredWeights& wanted, uint64_t heldVersion)
    {
        auto earliest = wanted.learnedAt;
        auto declared = snapshot.weights.find(model);
        if (declared == snapshot.weights.end())
            return earliest;
        for (auto& declaration : declared->second) {
            if (declaration.version > heldVersion)
                earliest = std::min(earliest, declaration.learnedAt);
        }
        return earliest;
    }

    // Part of the engines, the first in the order, that cut off what runs.
    constexpr double cuttingShare = 0.65;
    // With fewer engines the ones that go on would be too few for the requests that are cut off.
    constexpr size_t fewestEnginesToCut = 4;

    bool allCanBeResumed(const Fleet::Configuration& configuration, const std::string& service)
    {
        for (auto& [host, routes] : configuration.routes) {
            for (auto& route : routes) {
                bool leadsHere = std::any_of(route->services.begin(), route->services.end(), [&](auto& part) { return part.service == service; });
                if (leadsHere && !(route->kind == Fleet::RequestKind::Stream && route->mayRepeat()))
                    return false;
            }
        }
        return true;
    }

} // namespace

Base::TimePoint earliestFetch(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const Fleet::DeclaredWeights& wanted, unsigned layers)
{
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets == snapshot.targetsByService.end())
        return wanted.learnedAt;
    bool othersServe = std::any_of(targets->second.begin(), targets->second.end(), [&](auto& target) {
        auto version = Fleet::wholeVersionOf(target->entry.layers, layers);
        return target->entry.address.host != settings.address && version > 0 && version < wanted.version;
    });
    if (!othersServe)
        return wanted.learnedAt;
    return wanted.learnedAt + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * newcomerShare);
}

LoadPlan planLoad(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const std::string& model, const Fleet::DeclaredWeights& wanted, uint64_t heldVersion)
{
    std::vector<std::string> addresses;
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets != snapshot.targetsByService.end()) {
        for (auto& target : targets->second)
            addresses.push_back(target->entry.address.host);
    }
    if (addresses.size() <= 1)
        return { wanted.learnedAt, LoadMode::FinishRunning };
    auto ranked = Base::rankMembers(std::to_string(wanted.version), addresses);
    auto rank = static_cast<double>(std::find(ranked.begin(), ranked.end(), settings.address) - ranked.begin());
    auto position = std::min(1.0, rank / static_cast<double>(addresses.size() - 1));
    auto share = firstTurnShare + (lastTurnShare - firstTurnShare) * position;
    LoadPlan plan;
    plan.turn = earliestDeclaration(snapshot, model, wanted, heldVersion) + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * share);
    bool mayCut = addresses.size() >= fewestEnginesToCut && snapshot.configuration && allCanBeResumed(*snapshot.configuration, settings.localService);
    if (mayCut && position < cuttingShare)
        plan.mode = LoadMode::AbortRunning;
    return plan;
}

} // namespace Lavenderloft::Staging::Queries
