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
    std::vector<Participant> sameDataCentre;
    std::vector<Participant> otherDataCentres;
    for (auto& participant : participants) {
        if (participant.vm == self.vm || participant.region != self.region)
            continue;
        (participant.dataCentre == self.dataCentre ? sameDataCentre : otherDataCentres).push_back(participant);
    }
    sortByRank(self.vm, sameDataCentre);
    sortByRank(self.vm, otherDataCentres);
    auto otherDataCentrePlaces = std::min(otherDataCentres.size(), std::max(neighboursOutsideDataCentre, maximumNeighbours - std::min(maximumNeighbours, sameDataCentre.size())));
    auto sameDataCentrePlaces = std::min(sameDataCentre.size(), maximumNeighbours - otherDataCentrePlaces);
    sameDataCentre.resize(sameDataCentrePlaces);
    sameDataCentre.insert(sameDataCentre.end(), otherDataCentres.begin(), otherDataCentres.begin() + static_cast<ptrdiff_t>(otherDataCentrePlaces));
    return sameDataCentre;
}

} // namespace Lavenderloft::Weights::Queries
