#include "Proxy/SilenceTimer.h"

namespace Lavenderloft::Proxy {

SilenceTimer::SilenceTimer(boost::asio::io_context& context, std::function<void()> onSilence)
    : m_timer(context)
    , m_onSilence(std::move(onSilence))
{
}

void SilenceTimer::arm(Base::Duration duration)
{
    auto start = ++m_starts;
    m_timer.expires_after(duration);
    m_timer.async_wait([self = shared_from_this(), start](const boost::system::error_code& error) {
        if (!error && start == self->m_starts && self->m_onSilence)
            self->m_onSilence();
    });
}

void SilenceTimer::disarm()
{
    ++m_starts;
    m_timer.cancel();
}

void SilenceTimer::stop()
{
    disarm();
    m_onSilence = nullptr;
}

} // namespace Lavenderloft::Proxy
