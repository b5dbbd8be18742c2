#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace Lavenderloft::Http {

// Logs and counts an exception that ended a task of an event loop. Throws nothing itself, also without memory.
void recordTaskFailure(std::string_view task, const std::exception_ptr&) noexcept;

// Runs a function in a place that must not throw, such as a destructor, and records an exception of it.
template <typename Function>
void guardTask(std::string_view task, Function&& function) noexcept
{
    try {
        function();
    } catch (...) {
        recordTaskFailure(task, std::current_exception());
    }
}

// Returns the number of tasks and handlers of this process that ended with an exception.
uint64_t taskFailures();

} // namespace Lavenderloft::Http
