#include "Http/TaskSupervisor.h"

#include <criterion/criterion.h>
#include <stdexcept>

using namespace Lavenderloft::Http;

namespace {

constexpr unsigned failures = 2;

boost::asio::awaitable<void> failAtFirst(unsigned& starts)
{
    if (starts++ < failures)
        throw std::runtime_error("odd input");
    co_return;
}

} // namespace

// Guards against a process that goes on without one of its tasks after an exception, for example without following the
// store.
Test(TaskSupervisor, startsATaskAgainAfterAnException)
{
    boost::asio::io_context context;
    unsigned starts = 0;
    superviseTask(context, "task", [&] { return failAtFirst(starts); });
    context.run();
    cr_assert_eq(starts, failures + 1);
}
