#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Standin {

// Runs functions after a delay on one thread of its own. Functions that are still due when the timer
// is destroyed are dropped.
class Timer {
public:
    Timer();
    ~Timer();

    void runAfter(std::chrono::nanoseconds delay, std::function<void()>);

    // Ends the thread; not to be called on it.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Standin
