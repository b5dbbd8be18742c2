#pragma once

#include "Base/RandomSource.h"

#include <mutex>
#include <random>

namespace Lavenderloft::Base {

// A thread-safe random source. Equal seeds produce equal sequences.
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(uint64_t seed)
        : m_engine(seed)
    {
    }

    // Creates a source with a seed from std::random_device.
    static SeededRandom fromDevice()
    {
        std::random_device device;
        return SeededRandom((static_cast<uint64_t>(device()) << 32) | device());
    }

    SeededRandom(SeededRandom&& other) noexcept
        : m_engine(other.m_engine)
    {
    }

    uint64_t next() override
    {
        std::lock_guard guard(m_lock);
        return m_engine();
    }

private:
    std::mutex m_lock;
    std::mt19937_64 m_engine;
};

} // namespace Lavenderloft::Base
