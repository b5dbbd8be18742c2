#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace Lavenderloft::Http {

// Runs a task that has to go on for as long as the process does. If an exception ends the task, it is logged and the
// task is started again after a delay: without it the process would go on with outdated state and nobody would notice.
void superviseTask(boost::asio::io_context&, std::string name, std::function<boost::asio::awaitable<void>()> start);

} // namespace Lavenderloft::Http
