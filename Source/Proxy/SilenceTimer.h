#pragma once

#include "Base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace Lavenderloft::Proxy {

// Calls a function when a target has been silent for longer than it may be. Used on one event loop.
class SilenceTimer : public std::enable_shared_from_this<SilenceTimer> {
public:
    SilenceTimer(boost::asio::io_context&, std::function<void()> onSilence);

    // Starts the time again.
    void arm(Base::Duration);

    void disarm();

    // Disarms the timer for good. Must be called before anything that the function uses ends.
    void stop();

private:
    boost::asio::steady_timer m_timer;
    std::function<void()> m_onSilence;
    // Counts the starts, so that an expiry that was already queued when the timer was disarmed has no effect.
    uint64_t m_starts = 0;
};

} // namespace Lavenderloft::Proxy
