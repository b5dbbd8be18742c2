#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

namespace Lavenderloft::Http {

// Awaits an operation whose handler throws, as that of a library may do. The coroutine never goes on: it is destroyed.
inline boost::asio::awaitable<void> awaitFailingOperation(boost::asio::io_context& context)
{
    auto initiation = [&context](auto handler) {
        boost::asio::post(context, [handler = std::move(handler)]() mutable { throw std::length_error("thrown inside an operation"); });
    };
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(initiation, boost::asio::use_awaitable);
}

} // namespace Lavenderloft::Http
