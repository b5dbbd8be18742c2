#include "Staging/Queries/FindDesiredWeights.h"

#include "Staging/Queries/EstimateTransfer.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    using namespace std::chrono_literals;

    // In force before the first declaration.
    constexpr uint64_t initialVersion = 1;
    // Engines need this time to load a version one after the other. They should be able to serve it for longer.
    constexpr std::chrono::milliseconds loadWindow = 1500ms;
    // Fraction of the shortest distribution time after which the distribution of a version is well under way.
    constexpr double underWayShare = 0.5;
    // How much longer than the shortest time the distribution takes.
    constexpr double distributionFactor = 1.6;

    Base::Duration scaled(Base::Duration duration, double factor)
    {
        return std::chrono::duration_cast<Base::Duration>(duration * factor);
    }

    // Whether agents should finish a version although the next one has been declared.
    bool isStillUseful(const DesiredWeights& candidate, const Fleet::DeclaredWeights& next, const Fleet::NodeSettings& settings, Base::TimePoint now)
    {
        auto shortest = shortestDistribution(candidate, settings);
        if (shortest <= Base::Duration::zero() || next.publishedAtIsLowerBound || candidate.declared.publishedAtIsLowerBound)
            return false;
        auto usableUntil = next.publishedAt + settings.bounds.weights - Fleet::weightsMargin;
        auto lastLoad = usableUntil - loadWindow;
        auto expectedComplete = candidate.declared.publishedAt + scaled(shortest, distributionFactor);
        bool wasUnderWay = next.publishedAt - candidate.declared.publishedAt >= scaled(shortest, underWayShare);
        return wasUnderWay && expectedComplete < lastLoad && now < lastLoad;
    }

    void setOrigin(DesiredWeights& desired, const Fleet::Configuration& configuration)
    {
        for (auto& [name, candidate] : configuration.services) {
            if (!candidate.origin)
                continue;
            desired.origin = *candidate.origin;
            desired.originBitsPerSecond = candidate.originBitsPerSecond;
        }
    }

    void chooseVersion(DesiredWeights& desired, const std::vector<Fleet::DeclaredWeights>& declared, const Fleet::NodeSettings& settings, uint64_t heldVersion, Base::TimePoint now)
    {
        for (auto entry = declared.begin(); entry != declared.end(); ++entry) {
            desired.declared = *entry;
            auto next = std::next(entry);
            if (entry->version > heldVersion && next != declared.end() && isStillUseful(desired, *next, settings, now))
                return;
        }
    }

} // namespace

const Fleet::WeightLayout* findWeightLayout(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings)
{
    if (!snapshot.configuration)
        return nullptr;
    auto& services = snapshot.configuration->services;
    auto service = services.find(settings.localService);
    if (service == services.end() || !service->second.weights || service->second.weights->models.empty())
        return nullptr;
    return &*service->second.weights;
}

std::optional<DesiredWeights> findDesiredWeights(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, uint64_t heldVersion, Base::TimePoint now)
{
    auto* layout = findWeightLayout(snapshot, settings);
    if (!layout)
        return std::nullopt;
    DesiredWeights desired;
    desired.model = layout->models.front();
    desired.declared = { initialVersion, {} };
    desired.layers = layout->layers;
    desired.pieces = layout->pieces;
    desired.pieceBytes = layout->pieceBytes;
    setOrigin(desired, *snapshot.configuration);
    auto declared = snapshot.weights.find(desired.model);
    if (declared != snapshot.weights.end())
        chooseVersion(desired, declared->second, settings, heldVersion, now);
    return desired;
}

} // namespace Lavenderloft::Staging::Queries
