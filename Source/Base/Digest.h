#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Lavenderloft::Base {

// Length of a SHA-256 digest written as lower-case hexadecimal digits.
inline constexpr size_t digestLength = 64;

// SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256(std::string_view bytes);

// Whether the text consists of 64 lower-case hexadecimal digits.
bool isDigest(std::string_view text);

// Incremental SHA-256 for data that arrives in parts.
class Sha256 {
public:
    Sha256();
    ~Sha256();
    Sha256(Sha256&&) noexcept;
    Sha256& operator=(Sha256&&) noexcept;

    void update(std::string_view bytes);

    // Returns the digest; the object must not be updated afterwards.
    std::string finish();

private:
    struct Context;
    std::unique_ptr<Context> m_context;
};

} // namespace Lavenderloft::Base
