#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Lavenderloft::Proxy {

// Notices that a caller closes its connection while a request of it is under way. Used on the connection's
// event loop.
class CallerWatch : public std::enable_shared_from_this<CallerWatch> {
public:
    explicit CallerWatch(boost::asio::ip::tcp::socket&);

    void start();
    void stop();

    bool callerLeft() const { return m_callerLeft; }

    // What to cancel when the caller leaves: the operation that the request waits for.
    void setCancellation(std::function<void()> cancel) { m_cancel = std::move(cancel); }

private:
    void becameReadable(const boost::system::error_code&);

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::cancellation_signal m_signal;
    std::function<void()> m_cancel;
    bool m_active = false;
    bool m_callerLeft = false;
};

} // namespace Lavenderloft::Proxy
