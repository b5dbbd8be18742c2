#pragma once

#include <functional>
#include <optional>
#include <vector>

namespace Lavenderloft::Staging::Commands {

// Removes and returns the first piece, from the end of the queue, that is due. Returns nullopt if none is.
std::optional<unsigned> takePiece(std::vector<unsigned>& queue, const std::function<bool(unsigned piece)>& isDue);

} // namespace Lavenderloft::Staging::Commands
