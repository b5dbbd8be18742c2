#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Lavenderloft::Base {

// Source of random numbers, seeded in tests.
class RandomSource {
public:
    virtual ~RandomSource() = default;

    virtual uint64_t next() = 0;

    // A number from 0 to bound - 1; the bound must not be zero.
    size_t below(size_t bound) { return static_cast<size_t>(next() % bound); }

    // A number from 0 up to, and without, 1.
    double fraction() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    // 128 random bits as 32 hexadecimal digits.
    std::string identifier();
};

} // namespace Lavenderloft::Base
