#pragma once

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Http {

// Limit for the memory that peers make a server hold, beside what is counted with each connection: bodies, unusually large
// heads, and buffers of connections. Bodies are held until their target has read them, and targets may read slowly.
// Thread-safe.
class MemoryBudget {
public:
    // For a VM whose memory is unknown.
    static constexpr uint64_t defaultLimitBytes = 64 * 1024 * 1024;

    explicit MemoryBudget(uint64_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // Reserves the bytes. Returns false and reserves nothing if that would exceed the limit.
    bool tryReserve(uint64_t bytes);

    // Whether so many more bytes could be reserved now.
    bool hasRoomFor(uint64_t bytes) const { return bytes <= m_limitBytes && m_heldBytes <= m_limitBytes - bytes; }

    void release(uint64_t bytes) { m_heldBytes -= bytes; }

    uint64_t heldBytes() const { return m_heldBytes; }

private:
    const uint64_t m_limitBytes;
    std::atomic<uint64_t> m_heldBytes { 0 };
};

// What one request or connection has reserved of a budget; released at the end of its life.
class MemoryReservation {
public:
    explicit MemoryReservation(MemoryBudget& budget)
        : m_budget(budget)
    {
    }

    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;
    ~MemoryReservation() { m_budget.release(m_bytes); }

    // Makes the reservation at least that large. Returns false if the budget is exhausted.
    bool growTo(uint64_t bytes);

    // Makes the reservation at most that large.
    void shrinkTo(uint64_t bytes);

    const MemoryBudget& budget() const { return m_budget; }

private:
    MemoryBudget& m_budget;
    uint64_t m_bytes = 0;
};

} // namespace Lavenderloft::Http
