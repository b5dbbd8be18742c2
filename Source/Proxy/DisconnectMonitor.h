#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Lavenderloft::Proxy {

// Detects that a caller closes its connection while its request is in progress. Used on the event loop of the
// connection.
class DisconnectMonitor : public std::enable_shared_from_this<DisconnectMonitor> {
public:
    explicit DisconnectMonitor(boost::asio::ip::tcp::socket&);

    void start();
    void stop();

    bool callerDisconnected() const { return m_callerDisconnected; }

    // Called when the caller disconnects, to cancel the pending operation of the request.
    void setCancelHandler(std::function<void()> cancel) { m_cancel = std::move(cancel); }

private:
    void onReadable(const boost::system::error_code&);

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::cancellation_signal m_signal;
    std::function<void()> m_cancel;
    bool m_active = false;
    bool m_callerDisconnected = false;
};

} // namespace Lavenderloft::Proxy
