#include "Http/EventLoop.h"

#include "Http/FailingOperation.h"
#include "Http/IoContextPool.h"
#include "Http/SpawnTask.h"

#include <boost/asio/post.hpp>
#include <criterion/criterion.h>
#include <stdexcept>

using namespace Lavenderloft::Http;

namespace {

boost::asio::awaitable<void> failAtOnce()
{
    throw std::length_error("odd input");
    co_return;
}

} // namespace

// Guards against an exception of a coroutine that is dropped without a trace, because nobody waits for the coroutine.
Test(EventLoop, recordsAnExceptionOfATask)
{
    boost::asio::io_context context;
    auto failures = taskFailures();
    bool hasGoneOn = false;
    spawnTask(context, "task", [] { return failAtOnce(); });
    boost::asio::post(context, [&] { hasGoneOn = true; });
    context.run();
    cr_expect(hasGoneOn);
    cr_expect_eq(taskFailures(), failures + 1);
}

// Guards against a process that ends by an exception inside an operation that a coroutine awaits, and against what the
// coroutine holds being lost with it.
Test(EventLoop, goesOnAfterAnExceptionInsideAnOperation)
{
    boost::asio::io_context context;
    auto failures = taskFailures();
    auto held = std::make_shared<int>();
    spawnTask(context, "task", [&context, held] { return awaitFailingOperation(context); });
    runEventLoop(context);
    cr_expect_eq(held.use_count(), 1);
    cr_expect_eq(taskFailures(), failures + 1);
}

// Guards against the same end by an exception of a plain handler, on each thread of a pool.
Test(EventLoop, goesOnAfterAnExceptionOfAHandler)
{
    constexpr unsigned loops = 2;
    auto failures = taskFailures();
    IoContextPool pool(loops);
    for (unsigned i = 0; i < loops; ++i)
        boost::asio::post(pool.context(i), [] { throw std::length_error("odd input"); });
    boost::asio::post(pool.context(1), [&] { boost::asio::post(pool.context(0), [&] { pool.stop(); }); });
    pool.run();
    cr_expect_eq(taskFailures(), failures + loops);
}
