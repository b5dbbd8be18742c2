#pragma once

#include "Weights/PeerClient.h"

#include <string>

namespace Lavenderloft::Transport {

// Bit i, lowest bit of each byte first, is chunk i.
std::string encodeBitmap(const Weights::ChunkBitmap&);

// The result has a multiple of eight entries.
Weights::ChunkBitmap decodeBitmap(const std::string&);

} // namespace Lavenderloft::Transport
