#pragma once

#include "Staging/Queries/ChooseSource.h"

#include <string>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// Returns the pieces in reverse fetch order, because the fetch queue is processed from its end: the pieces that other
// agents wait for come last. Agents start at different pieces, so that they do not all request the same one at once.
std::vector<unsigned> orderPieces(std::vector<unsigned> pieces, const PieceAssignments&, const std::string& ownAddress);

} // namespace Lavenderloft::Staging::Queries
