#include "Staging/Queries/PlanLoad.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    using namespace std::chrono_literals;

    // Fractions of the weights deadline at which the pieces are expected to be staged, and at which the last engine starts
    // to load. The time after the last is needed to finish running requests before the deadline.
    constexpr double expectedStagingShare = 0.43;
    constexpr double lastLoadShare = 0.74;
    // All engines start to load within this time if a newer version is waiting to be staged.
    constexpr std::chrono::milliseconds shortLoadWindow = 1200ms;

    // Fraction of the weights deadline after which engines that serve nothing fetch pieces. The serving engines have
    // fetched theirs by then.
    constexpr double idleEngineFetchShare = 0.58;

    // Time of the earliest declaration that the engine does not satisfy yet.
    Base::TimePoint earliestDeclaration(const Fleet::FleetSnapshot& snapshot, const std::string& model, const Fleet::DeclaredWeights& declared, uint64_t heldVersion)
    {
        auto earliest = declared.publishedAt;
        auto declarations = snapshot.weights.find(model);
        if (declarations == snapshot.weights.end())
            return earliest;
        for (auto& declaration : declarations->second) {
            if (declaration.version > heldVersion)
                earliest = std::min(earliest, declaration.publishedAt);
        }
        return earliest;
    }

    bool isNewerDeclared(const Fleet::FleetSnapshot& snapshot, const std::string& model, const Fleet::DeclaredWeights& declared)
    {
        auto declarations = snapshot.weights.find(model);
        return declarations != snapshot.weights.end() && !declarations->second.empty() && declarations->second.back().version > declared.version;
    }

    // Fraction of the engines, from the start of the load order, that abort running requests.
    constexpr double abortingShare = 0.65;
    // With fewer engines, the remaining ones would lack capacity for the aborted requests.
    constexpr size_t minimumEnginesToAbort = 4;

    bool allRequestsResumable(const Fleet::Configuration& configuration, const std::string& service)
    {
        for (auto& [host, routes] : configuration.routes) {
            for (auto& route : routes) {
                bool usesService = std::any_of(route->services.begin(), route->services.end(), [&](auto& part) { return part.service == service; });
                if (usesService && !(route->kind == Fleet::RequestKind::Stream && route->isRepeatable()))
                    return false;
            }
        }
        return true;
    }

} // namespace

Base::TimePoint earliestFetch(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const Fleet::DeclaredWeights& declared, unsigned layers)
{
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets == snapshot.targetsByService.end())
        return declared.publishedAt;
    bool othersServe = std::any_of(targets->second.begin(), targets->second.end(), [&](auto& target) {
        auto version = Fleet::wholeVersionOf(target->entry.layers, layers);
        return target->entry.address.host != settings.address && version > 0 && version < declared.version;
    });
    if (!othersServe)
        return declared.publishedAt;
    return declared.publishedAt + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * idleEngineFetchShare);
}

LoadPlan planLoad(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const std::string& model, const Fleet::DeclaredWeights& declared, uint64_t heldVersion, const StagingProgress& progress)
{
    std::vector<std::string> addresses;
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets != snapshot.targetsByService.end()) {
        for (auto& target : targets->second)
            addresses.push_back(target->entry.address.host);
    }
    if (addresses.size() <= 1)
        return { declared.publishedAt, LoadMode::FinishRunning };
    auto ranked = Base::rankMembers(std::to_string(declared.version), addresses);
    auto rank = static_cast<double>(std::find(ranked.begin(), ranked.end(), settings.address) - ranked.begin());
    auto position = std::min(1.0, rank / static_cast<double>(addresses.size() - 1));
    auto earliest = earliestDeclaration(snapshot, model, declared, heldVersion);
    auto from = progress.stagedAt.value_or(earliest + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * expectedStagingShare));
    auto until = earliest + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * lastLoadShare);
    if (progress.canStageNewest && isNewerDeclared(snapshot, model, declared))
        until = std::min<Base::TimePoint>(until, from + shortLoadWindow);
    LoadPlan plan;
    plan.startAt = from + std::chrono::duration_cast<Base::Duration>(std::max(until - from, Base::Duration::zero()) * position);
    bool mayAbort = addresses.size() >= minimumEnginesToAbort && snapshot.configuration && allRequestsResumable(*snapshot.configuration, settings.localService);
    if (mayAbort && position < abortingShare)
        plan.mode = LoadMode::AbortRunning;
    return plan;
}

bool isFetchDeferred(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const DesiredWeights& desired, uint64_t heldVersion, Base::TimePoint now)
{
    if (heldVersion > 0)
        return false;
    return now < earliestFetch(snapshot, settings, desired.declared, desired.layers);
}

std::optional<std::chrono::milliseconds> timeUntilAbort(const std::optional<LoadPlan>& plan, Base::TimePoint now)
{
    if (!plan || plan->mode != LoadMode::AbortRunning)
        return std::nullopt;
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan->startAt - now);
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace Lavenderloft::Staging::Queries
