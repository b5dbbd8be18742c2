#include "Dispatch/Queries/FindLastingCandidates.h"

namespace Lavenderloft::Dispatch::Queries {

std::vector<size_t> findLastingCandidates(const std::vector<Candidate>& candidates, const RequestTraits& traits)
{
    std::vector<size_t> remaining;
    std::vector<size_t> all;
    all.reserve(candidates.size());
    bool wasAborted = traits.requiredWeights > 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        all.push_back(i);
        if (wasAborted && !candidates[i].abortsSoon)
            remaining.push_back(i);
    }
    return remaining.empty() ? all : remaining;
}

} // namespace Lavenderloft::Dispatch::Queries
