#include "Weights/Queries/Neighbours.h"

#include "Base/RendezvousHash.h"
#include "Weights/TransferLimits.h"

#include <algorithm>

namespace Lavenderloft::Weights::Queries {

namespace {

    void sortByRank(const std::string& key, std::vector<Participant>& participants)
    {
        std::sort(participants.begin(), participants.end(), [&](auto& left, auto& right) {
            return std::pair(Base::rendezvousWeight(key, left.vm), left.vm) > std::pair(Base::rendezvousWeight(key, right.vm), right.vm);
        });
    }

} // namespace

std::vector<Participant> chooseNeighbours(const Participant& self, const std::vector<Participant>& participants)
{
    std::vector<Participant> near;
    std::vector<Participant> far;
    for (auto& participant : participants) {
        if (participant.vm == self.vm || participant.region != self.region)
            continue;
        (participant.dataCentre == self.dataCentre ? near : far).push_back(participant);
    }
    sortByRank(self.vm, near);
    sortByRank(self.vm, far);
    auto farPlaces = std::min(far.size(), std::max(neighboursOutsideDataCentre, maximumNeighbours - std::min(maximumNeighbours, near.size())));
    auto nearPlaces = std::min(near.size(), maximumNeighbours - farPlaces);
    near.resize(nearPlaces);
    near.insert(near.end(), far.begin(), far.begin() + static_cast<ptrdiff_t>(farPlaces));
    return near;
}

} // namespace Lavenderloft::Weights::Queries
