#pragma once

#include "Weights/PeerClient.h"

#include <string>

namespace Lavenderloft::Transport {

// Bit i, lowest bit of each byte first, is chunk i.
std::string encodeBitmap(const Weights::ChunkBitmap&);

// A digest of 64 hexadecimal digits as 32 bytes; empty if the text is not a digest.
std::string encodeDigest(const std::string&);

// The bytes as lower-case hexadecimal digits.
std::string decodeDigest(const std::string&);

// The number of entries in the result is a multiple of eight.
Weights::ChunkBitmap decodeBitmap(const std::string&);

} // namespace Lavenderloft::Transport
