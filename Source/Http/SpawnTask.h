#pragma once

#include "Http/TaskFailures.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <string_view>
#include <utility>

namespace Lavenderloft::Http {

// Starts a coroutine that nobody waits for, such as the one of a connection. An exception that leaves it is logged with the
// name of the task; a detached coroutine would drop it without a trace. An exception inside an operation that the coroutine
// awaits never reaches it: it leaves the handler of the event loop (see runEventLoop()), and the coroutine is destroyed. So
// what a coroutine holds has to be released by destructors, not where an exception is caught. The name must be a literal.
// Tasks that have to go on for as long as the process does run under superviseTask().
template <typename Start>
void spawnTask(boost::asio::io_context& context, std::string_view name, Start start)
{
    boost::asio::co_spawn(context, std::move(start), [name](const std::exception_ptr& failure) {
        if (failure)
            recordTaskFailure(name, failure);
    });
}

} // namespace Lavenderloft::Http
