#pragma once

#include <cstdint>
#include <mutex>

namespace Lavenderloft::Admission {

// Slots and request bytes of one target that permits and running requests hold.
class Occupancy {
public:
    struct Usage {
        // Permits and running requests.
        unsigned slots = 0;
        unsigned limit = 0;
        uint64_t heldBytes = 0;
        uint64_t byteLimit = 0;
    };

    // Takes a slot and the bytes unless that exceeds a limit.
    bool tryAcquire(uint64_t bytes);
    void release(uint64_t bytes);

    // A limit below what is slots stops new grants and ends nothing.
    void setLimit(unsigned limit);
    void setByteLimit(uint64_t byteLimit);

    Usage usage() const;

private:
    mutable std::mutex m_lock;
    Usage m_usage;
};

} // namespace Lavenderloft::Admission
