#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace Lavenderloft::Process {

// Coordinates the shutdown of an object: stops its loops, rejects new calls to peers and waits for the calls in
// flight, whose callbacks use the object.
class CallGate {
public:
    // Sleeps for the duration or until the gate is closed. Returns whether the gate is open.
    bool wait(std::chrono::milliseconds);

    // Registers a call; returns false if the gate is closed and the call must not begin.
    bool beginCall();
    void endCall();

    // Wakes all waiting threads and rejects further calls.
    void close();

    // Waits until no call is in flight. Call after close().
    void waitForCalls();

private:
    std::mutex m_lock;
    std::condition_variable m_condition;
    bool m_isClosed = false;
    size_t m_callsInFlight = 0;
};

} // namespace Lavenderloft::Process
