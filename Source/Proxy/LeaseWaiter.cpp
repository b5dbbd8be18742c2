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
        self->deliver(std::move(outcome));
    });
}

void LeaseWaiter::deliver(Outcome outcome)
{
    auto* lease = std::get_if<Dispatch::Lease>(&outcome);
    if (m_returnLease && lease)
        m_returnLease(*lease);
    m_outcome = std::move(outcome);
    m_timer.cancel();
}

void LeaseWaiter::discard(std::function<void(const Dispatch::Lease&)> returnLease)
{
    m_returnLease = std::move(returnLease);
    auto* lease = m_outcome ? std::get_if<Dispatch::Lease>(&*m_outcome) : nullptr;
    if (lease)
        m_returnLease(*lease);
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
