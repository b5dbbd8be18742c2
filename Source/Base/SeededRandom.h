#pragma once

#include "Base/RandomSource.h"

#include <mutex>
#include <random>

namespace Lavenderloft::Base {

// A random source that several threads may share. Equal seeds give equal sequences.
class SeededRandom final : public RandomSource {
public:
    explicit SeededRandom(uint64_t seed)
        : m_engine(seed)
    {
    }

    // A source seeded by the operating system.
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
