#include "Http/Sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lavenderloft::Http {

boost::asio::awaitable<void> sleepFor(boost::asio::io_context& context, std::chrono::milliseconds duration)
{
    // Nothing cancels the timer, so the wait ends early only when the event loop ends.
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(context, duration);
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace Lavenderloft::Http
