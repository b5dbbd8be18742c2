#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace Lavenderloft::Process {

// Ends the loops of an object and counts its calls to peers under way, whose callbacks use the object.
class CallGate {
public:
    // Sleeps for the duration or until the end; false after the end.
    bool wait(std::chrono::milliseconds);

    // Counts a call; false after the end, when none may begin.
    bool beginCall();
    void endCall();

    // Wakes all who wait; no call begins afterwards.
    void close();

    // Waits until no call is under way. To be called after close().
    void waitForCalls();

private:
    std::mutex m_lock;
    std::condition_variable m_condition;
    bool m_isClosed = false;
    size_t m_callsUnderWay = 0;
};

} // namespace Lavenderloft::Process
