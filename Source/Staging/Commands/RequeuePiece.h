#pragma once

#include "Staging/Queries/ChooseSource.h"

#include <vector>

namespace Lavenderloft::Staging::Commands {

// Puts a piece back after a failed attempt. Pieces are taken from the end of the queue: one that other agents wait for
// is retried after a few others, any other one last.
void requeuePiece(std::vector<unsigned>& queue, unsigned piece, Queries::PieceAssignment);

} // namespace Lavenderloft::Staging::Commands
