#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Lavenderloft::Base {

// Source of random numbers; tests use a fixed seed.
class RandomSource {
public:
    virtual ~RandomSource() = default;

    virtual uint64_t next() = 0;

    // A number in [0, bound); the bound must not be zero.
    size_t nextBelow(size_t bound) { return static_cast<size_t>(next() % bound); }

    // A number in [0, 1).
    double nextFraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    // 128 random bits as 32 hexadecimal digits.
    std::string nextIdentifier();
};

} // namespace Lavenderloft::Base
