#include "Http/TaskSupervisor.h"

#include "Http/EventLoop.h"
#include "Http/FailingOperation.h"

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

boost::asio::awaitable<void> failInAnOperationAtFirst(boost::asio::io_context& context, unsigned& starts)
{
    if (starts++ < failures)
        co_await awaitFailingOperation(context);
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

// Guards against the same where the exception is raised inside an operation that the task awaits: it does not reach the task,
// whose coroutine is destroyed without a trace.
Test(TaskSupervisor, startsATaskAgainAfterAnExceptionInsideAnOperation)
{
    boost::asio::io_context context;
    unsigned starts = 0;
    superviseTask(context, "task", [&] { return failInAnOperationAtFirst(context, starts); });
    runEventLoop(context);
    cr_assert_eq(starts, failures + 1);
}
