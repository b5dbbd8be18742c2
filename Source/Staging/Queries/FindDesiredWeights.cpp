#include "Staging/Queries/FindDesiredWeights.h"

namespace Lavenderloft::Staging::Queries {

namespace {

    Fleet::DeclaredWeights lastDeclared(const Fleet::FleetSnapshot& snapshot, const std::string& model)
    {
        auto declared = snapshot.weights.find(model);
        if (declared == snapshot.weights.end() || declared->second.empty())
            return { 1, {} };
        return declared->second.back();
    }

    Http::Endpoint findOrigin(const Fleet::Configuration& configuration)
    {
        Http::Endpoint origin;
        for (auto& [name, candidate] : configuration.services) {
            if (candidate.origin)
                origin = *candidate.origin;
        }
        return origin;
    }

} // namespace

std::optional<DesiredWeights> findDesiredWeights(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings)
{
    if (!snapshot.configuration)
        return std::nullopt;
    auto& services = snapshot.configuration->services;
    auto service = services.find(settings.localService);
    if (service == services.end() || !service->second.weights || service->second.weights->models.empty())
        return std::nullopt;
    auto& layout = *service->second.weights;
    DesiredWeights desired;
    desired.model = layout.models.front();
    desired.layers = layout.layers;
    desired.pieces = layout.pieces;
    desired.declared = lastDeclared(snapshot, desired.model);
    desired.origin = findOrigin(*snapshot.configuration);
    return desired;
}

} // namespace Lavenderloft::Staging::Queries
