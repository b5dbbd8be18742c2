#include "Staging/Queries/OrderPieces.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

std::vector<unsigned> orderPieces(std::vector<unsigned> pieces, const PieceAssignments& assignments, const std::string& ownAddress)
{
    auto start = static_cast<std::ptrdiff_t>(Base::stableHash(ownAddress) % std::max<size_t>(pieces.size(), 1));
    std::rotate(pieces.begin(), pieces.begin() + start, pieces.end());
    std::stable_sort(pieces.begin(), pieces.end(), [&](unsigned left, unsigned right) {
        return assignments.ownAssignment(left) > assignments.ownAssignment(right);
    });
    return pieces;
}

} // namespace Lavenderloft::Staging::Queries
