#include "Staging/Commands/TakePiece.h"

#include <algorithm>

namespace Lavenderloft::Staging::Commands {

std::optional<unsigned> takePiece(std::vector<unsigned>& queue, const std::function<bool(unsigned piece)>& isDue)
{
    auto found = std::find_if(queue.rbegin(), queue.rend(), isDue);
    if (found == queue.rend())
        return std::nullopt;
    auto piece = *found;
    queue.erase(std::prev(found.base()));
    return piece;
}

} // namespace Lavenderloft::Staging::Commands
