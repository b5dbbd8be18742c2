#include "Proxy/LeaseWaiter.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;

LeaseWaiter::LeaseWaiter(asio::io_context& context)
    : m_context(context)
    , m_timer(context)
{
}

void LeaseWaiter::waitEnded(Outcome outcome)
{
    asio::post(m_context, [self = shared_from_this(), outcome = std::move(outcome)]() mutable {
        self->m_outcome = std::move(outcome);
        self->m_timer.cancel();
    });
}

asio::awaitable<void> LeaseWaiter::waitFor(Base::Duration duration)
{
    if (m_outcome)
        co_return;
    boost::system::error_code ignored;
    m_timer.expires_after(duration);
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace Lavenderloft::Proxy
