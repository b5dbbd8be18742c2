#include "Dispatch/Queries/ListReluctantTargets.h"

namespace Lavenderloft::Dispatch::Queries {

std::map<std::string, Reluctance> listReluctantTargets(DispatchState& state, Base::TimePoint now)
{
    std::map<std::string, Reluctance> reluctant;
    state.forEachService([&](const std::string&, ServiceState& service) {
        for (auto& [id, runtime] : service.targets) {
            if (runtime.knowledge.leavingSince)
                reluctant.emplace(id, Reluctance::Leaving);
            else if (runtime.knowledge.heldBackUntil > now)
                reluctant.emplace(id, Reluctance::HeldBack);
        }
    });
    return reluctant;
}

} // namespace Lavenderloft::Dispatch::Queries
