#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Standin {

// Runs functions after a delay on a dedicated thread. Pending functions are dropped when the timer is destroyed.
class Timer {
public:
    Timer();
    ~Timer();

    void runAfter(std::chrono::nanoseconds delay, std::function<void()>);

    // Ends the thread; must not be called on that thread.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Standin
