#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace Lavenderloft::Http {

// Suspends the coroutine without blocking its thread.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context&, std::chrono::milliseconds);

} // namespace Lavenderloft::Http
