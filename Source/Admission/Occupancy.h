#pragma once

#include <cstdint>
#include <mutex>

namespace Lavenderloft::Admission {

// Slots and body bytes of a target in use by permits and running requests.
class Occupancy {
public:
    struct Usage {
        // Slots used by permits and running requests.
        unsigned slots = 0;
        unsigned limit = 0;
        uint64_t heldBytes = 0;
        uint64_t byteLimit = 0;
    };

    // Acquires a slot and the bytes. Returns false if that would exceed a limit.
    bool tryAcquire(uint64_t bytes);
    void release(uint64_t bytes);

    // A limit below the current usage stops new grants but does not affect running requests.
    void setLimit(unsigned limit);
    void setByteLimit(uint64_t byteLimit);

    Usage usage() const;

private:
    mutable std::mutex m_lock;
    Usage m_usage;
};

} // namespace Lavenderloft::Admission
