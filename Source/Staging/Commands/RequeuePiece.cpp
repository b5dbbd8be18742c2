#include "Staging/Commands/RequeuePiece.h"

#include <algorithm>
#include <cstddef>

namespace Lavenderloft::Staging::Commands {

namespace {

    // Pieces that are fetched before one that other agents wait for is retried.
    constexpr std::ptrdiff_t piecesBetween = 2;

} // namespace

void requeuePiece(std::vector<unsigned>& queue, unsigned piece, Queries::PieceAssignment assignment)
{
    auto size = static_cast<std::ptrdiff_t>(queue.size());
    auto position = assignment == Queries::PieceAssignment::None ? 0 : std::max<std::ptrdiff_t>(size - piecesBetween, 0);
    queue.insert(queue.begin() + position, piece);
}

} // namespace Lavenderloft::Staging::Commands
