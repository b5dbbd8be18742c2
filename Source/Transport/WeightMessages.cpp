#include "Transport/WeightMessages.h"

#include "Base/Digest.h"

#include <openssl/crypto.h>

namespace Lavenderloft::Transport {

namespace {

    constexpr size_t bitsPerByte = 8;
    constexpr size_t digestBytes = Base::digestLength / 2;

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

std::string encodeDigest(const std::string& digest)
{
    if (!Base::isDigest(digest))
        return {};
    std::string bytes(digestBytes, '\0');
    size_t length = 0;
    OPENSSL_hexstr2buf_ex(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), &length, digest.c_str(), '\0');
    return bytes;
}

std::string decodeDigest(const std::string& bytes)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string digest;
    digest.reserve(bytes.size() * 2);
    for (unsigned char byte : bytes) {
        digest.push_back(digits[byte >> 4]);
        digest.push_back(digits[byte & 15]);
    }
    return digest;
}

} // namespace Lavenderloft::Transport
