#pragma once

namespace Lavenderloft::Scheduling {

// Keeps a part of the service for the least urgent requests that wait, so that none waits for ever behind more urgent ones.
// Answers a load of urgent requests that alone exceeds the capacity.
class StarvationFloor {
public:
    // One start in this many goes to the least urgent requests that wait.
    static constexpr unsigned startsPerFloorStart = 20;

    bool isDue() const { return m_startsPastOthers >= startsPerFloorStart - 1; }

    // Records that a request was served while less urgent ones waited.
    void recordStartPastOthers() { ++m_startsPastOthers; }

    // Records that one of the least urgent requests was served.
    void recordFloorStart() { m_startsPastOthers = 0; }

private:
    unsigned m_startsPastOthers = 0;
};

} // namespace Lavenderloft::Scheduling
