#pragma once

#include <cstdint>
#include <mutex>

namespace Lavenderloft::Admission {

// Slots and request bytes of one target that permits and running requests hold.
class Occupancy {
public:
    struct Figures {
        // Permits and running requests.
        unsigned taken = 0;
        unsigned limit = 0;
        uint64_t heldBytes = 0;
        uint64_t byteLimit = 0;
    };

    // Takes a slot and the bytes unless that exceeds a limit.
    bool tryTake(uint64_t bytes);
    void giveBack(uint64_t bytes);

    // A limit below what is taken stops new grants and ends nothing.
    void setLimit(unsigned limit);
    void setByteLimit(uint64_t byteLimit);

    Figures figures() const;

private:
    mutable std::mutex m_lock;
    Figures m_figures;
};

} // namespace Lavenderloft::Admission
