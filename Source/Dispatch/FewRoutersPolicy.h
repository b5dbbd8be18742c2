#pragma once

#include "Dispatch/LimitSharePolicy.h"

namespace Lavenderloft::Dispatch {

// A few routers of the target's data centre hold the whole limit, chosen by rendezvous hashing; the others send nothing. With
// a part for each router, the first request of each of many routers would exceed a small limit, and the parts of idle
// routers would be lost. Routers of one data centre mostly agree on which of them are alive.
class FewRoutersPolicy final : public LimitSharePolicy {
public:
    double share(const Fleet::TargetEntry&, double requestsPerSecond, const std::string& router, const std::vector<RouterPlace>& routers, const std::string& targetRegion) const override;
};

} // namespace Lavenderloft::Dispatch
