#pragma once

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace Lavenderloft::Proxy {

class DisconnectMonitor;

// Keeps a function that cancels a pending operation registered at a DisconnectMonitor. Owned by what the function uses, so
// that the monitor cannot call it after that is gone.
class [[nodiscard]] CancelRegistration {
public:
    CancelRegistration() = default;
    CancelRegistration(CancelRegistration&&) noexcept;
    CancelRegistration& operator=(CancelRegistration&&) noexcept;
    ~CancelRegistration() { reset(); }

    // The monitor no longer calls the function.
    void reset();

private:
    friend class DisconnectMonitor;
    CancelRegistration(std::shared_ptr<DisconnectMonitor>, uint64_t number);

    std::shared_ptr<DisconnectMonitor> m_monitor;
    uint64_t m_number = 0;
};

// Detects that a caller closes its connection while its request is in progress. Used on the event loop of the
// connection.
class DisconnectMonitor : public std::enable_shared_from_this<DisconnectMonitor> {
public:
    explicit DisconnectMonitor(boost::asio::ip::tcp::socket&);

    void start();
    void stop();

    bool callerDisconnected() const { return m_callerDisconnected; }

    // Has the function called when the caller disconnects, to cancel a pending operation of the request, for as long as the
    // registration exists.
    CancelRegistration callOnDisconnect(std::function<void()> cancel);

private:
    friend class CancelRegistration;

    void onReadable(const boost::system::error_code&);

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::cancellation_signal m_signal;
    // By number of their registration.
    std::map<uint64_t, std::function<void()>> m_cancels;
    uint64_t m_registrations = 0;
    bool m_active = false;
    bool m_callerDisconnected = false;
};

} // namespace Lavenderloft::Proxy
