#pragma once

#include <chrono>
#include <csignal>

namespace Lavenderloft::Standin {

// Waits for SIGTERM or SIGINT. To be made before any thread is started, which then inherits the mask.
class StopSignal {
public:
    StopSignal();

    void wait();

    // False if no signal came within the time.
    bool waitFor(std::chrono::milliseconds);

private:
    sigset_t m_signals;
};

} // namespace Lavenderloft::Standin
