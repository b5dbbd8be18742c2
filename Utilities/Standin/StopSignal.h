#pragma once

#include <chrono>
#include <csignal>

namespace Lavenderloft::Standin {

// Waits for SIGTERM or SIGINT. Must be constructed before any thread is started, because threads inherit
// the signal mask.
class StopSignal {
public:
    StopSignal();

    void wait();

    // Returns false if no signal arrived in this time.
    bool waitFor(std::chrono::milliseconds);

private:
    sigset_t m_signals;
};

} // namespace Lavenderloft::Standin
