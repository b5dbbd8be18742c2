#include "Http/TaskFailures.h"

#include "Http/Events.h"
#include "Observability/Log.h"

#include <atomic>
#include <string>

namespace Lavenderloft::Http {

namespace {

    std::atomic<uint64_t> s_taskFailures { 0 };

    std::string describe(const std::exception_ptr& failure)
    {
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            return error.what();
        } catch (...) {
            return "unknown exception";
        }
    }

} // namespace

void recordTaskFailure(std::string_view task, const std::exception_ptr& failure) noexcept
{
    ++s_taskFailures;
    try {
        Observability::logEvent(Events::taskEnded, { { "task", task }, { "problem", describe(failure) } });
    } catch (...) {
        // Without memory for a line the count has to do.
        return;
    }
}

uint64_t taskFailures()
{
    return s_taskFailures;
}

} // namespace Lavenderloft::Http
