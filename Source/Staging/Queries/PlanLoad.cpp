#include "Staging/Queries/PlanLoad.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    // Groups of engines that load one after the other.
    constexpr unsigned turns = 5;
    // Parts of the bound for new weights: when the first turn begins, and the length of each.
    constexpr double firstTurnShare = 0.43;
    constexpr double turnShare = 0.07;

} // namespace

Base::TimePoint planLoad(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const Fleet::DeclaredWeights& declared)
{
    std::vector<std::string> addresses;
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets != snapshot.targetsByService.end()) {
        for (auto& target : targets->second)
            addresses.push_back(target->entry.address.host);
    }
    if (addresses.size() <= 1)
        return declared.learnedAt;
    auto ranked = Base::rankMembers(std::to_string(declared.version), addresses);
    auto rank = static_cast<unsigned>(std::find(ranked.begin(), ranked.end(), settings.address) - ranked.begin());
    auto share = firstTurnShare + turnShare * (rank % turns);
    return declared.learnedAt + std::chrono::duration_cast<Base::Duration>(settings.bounds.weights * share);
}

} // namespace Lavenderloft::Staging::Queries
