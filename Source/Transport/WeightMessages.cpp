#include "Transport/WeightMessages.h"

namespace Lavenderloft::Transport {

namespace {

    constexpr size_t bitsPerByte = 8;

} // namespace

std::string encodeBitmap(const Weights::ChunkBitmap& bitmap)
{
    std::string bytes((bitmap.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (size_t i = 0; i < bitmap.size(); ++i) {
        if (bitmap[i])
            bytes[i / bitsPerByte] = static_cast<char>(bytes[i / bitsPerByte] | (1 << (i % bitsPerByte)));
    }
    return bytes;
}

Weights::ChunkBitmap decodeBitmap(const std::string& bytes)
{
    Weights::ChunkBitmap bitmap(bytes.size() * bitsPerByte, false);
    for (size_t i = 0; i < bitmap.size(); ++i)
        bitmap[i] = (bytes[i / bitsPerByte] >> (i % bitsPerByte)) & 1;
    return bitmap;
}

} // namespace Lavenderloft::Transport
