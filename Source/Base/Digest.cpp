#include "Base/Digest.h"

#include <algorithm>
#include <array>
#include <openssl/evp.h>

namespace Lavenderloft::Base {

struct Sha256::Context {
    EVP_MD_CTX* evp = EVP_MD_CTX_new();
    ~Context() { EVP_MD_CTX_free(evp); }
};

Sha256::Sha256()
    : m_context(std::make_unique<Context>())
{
    EVP_DigestInit_ex(m_context->evp, EVP_sha256(), nullptr);
}

Sha256::~Sha256() = default;
Sha256::Sha256(Sha256&&) noexcept = default;
Sha256& Sha256::operator=(Sha256&&) noexcept = default;

void Sha256::update(std::string_view bytes)
{
    EVP_DigestUpdate(m_context->evp, bytes.data(), bytes.size());
}

std::string Sha256::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_context->evp, digest.data(), &length);
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(length * 2);
    for (unsigned int i = 0; i < length; ++i) {
        text.push_back(digits[digest[i] >> 4]);
        text.push_back(digits[digest[i] & 15]);
    }
    return text;
}

std::string sha256(std::string_view bytes)
{
    Sha256 hash;
    hash.update(bytes);
    return hash.finish();
}

bool isDigest(std::string_view text)
{
    return text.size() == digestLength
        && std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

} // namespace Lavenderloft::Base
