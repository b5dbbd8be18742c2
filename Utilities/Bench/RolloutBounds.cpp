#include "Bench/RolloutBounds.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Lavenderloft::Bench {

namespace {

    void compare(std::vector<std::string>& exceeded, const std::string& name, double measured, double bound)
    {
        if (measured > bound)
            exceeded.push_back(name + ": " + std::to_string(measured) + " exceeds the bound of " + std::to_string(bound));
    }

} // namespace

Base::Result<RolloutBounds, BoundsError> readRolloutBounds(const std::string& path)
{
    try {
        std::ifstream file(path);
        auto json = nlohmann::json::parse(file).at("rollout");
        RolloutBounds bounds;
        for (auto& entry : json.at("timeInFloors"))
            bounds.timeInFloors.push_back({ entry.at("maximumReplicas").get<unsigned>(), entry.at("maximum").get<double>() });
        bounds.originCopies = json.at("originCopies").get<double>();
        bounds.interRegionCopies = json.at("interRegionCopies").get<double>();
        bounds.originCopiesWithFault = json.at("originCopiesWithFault").get<double>();
        bounds.interRegionCopiesWithFault = json.at("interRegionCopiesWithFault").get<double>();
        bounds.wrongReplicas = json.at("wrongReplicas").get<unsigned>();
        return bounds;
    } catch (const nlohmann::json::exception& error) {
        return BoundsError { BoundsErrorKind::Unreadable, "bounds file " + path + ": " + error.what(), "use the format of Utilities/Bench/bounds.json" };
    }
}

std::vector<std::string> findExceededBounds(const RolloutBounds& bounds, const RolloutOptions& options, const RolloutMeasurement& measurement, BoundsScope scope)
{
    std::vector<std::string> exceeded;
    if (!measurement.complete)
        exceeded.push_back("rollout incomplete after " + std::to_string(options.limit.count()) + " ms");
    bool faulty = options.fault != RolloutFault::None;
    compare(exceeded, "copies read from the origin", measurement.originCopies, faulty ? bounds.originCopiesWithFault : bounds.originCopies);
    compare(exceeded, "copies received by a region", measurement.interRegionCopies, faulty ? bounds.interRegionCopiesWithFault : bounds.interRegionCopies);
    compare(exceeded, "replicas with missing or incorrect chunks", measurement.wrongReplicas, bounds.wrongReplicas);
    if (scope == BoundsScope::Counts || faulty)
        return exceeded;
    for (auto& bound : bounds.timeInFloors) {
        if (options.replicas > bound.maximumReplicas)
            continue;
        compare(exceeded, "rollout time in floors", measurement.timeInFloors, bound.maximum);
        break;
    }
    return exceeded;
}

} // namespace Lavenderloft::Bench
