#pragma once

#include "Fleet/TargetEntry.h"

#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// A router that may send requests to the targets.
struct RouterPlace {
    std::string address;
    std::string dataCentre;
    std::string region;

    bool operator==(const RouterPlace&) const = default;
};

// Divides the limit that a target names among the routers. Each router decides for itself, so all that see the same routers
// have to come to the same division.
class LimitSharePolicy {
public:
    virtual ~LimitSharePolicy() = default;

    // Requests per second that the router may send to the target. `routers` includes the router itself.
    virtual double share(const Fleet::TargetEntry&, double requestsPerSecond, const std::string& router, const std::vector<RouterPlace>& routers, const std::string& targetRegion) const = 0;
};

} // namespace Lavenderloft::Dispatch
