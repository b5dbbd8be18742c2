#include "Proxy/DisconnectMonitor.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/buffer.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;

CancelRegistration::CancelRegistration(std::shared_ptr<DisconnectMonitor> monitor, uint64_t number)
    : m_monitor(std::move(monitor))
    , m_number(number)
{
}

CancelRegistration::CancelRegistration(CancelRegistration&&) noexcept = default;

CancelRegistration& CancelRegistration::operator=(CancelRegistration&& other) noexcept
{
    reset();
    m_monitor = std::move(other.m_monitor);
    m_number = other.m_number;
    return *this;
}

void CancelRegistration::reset()
{
    if (m_monitor)
        m_monitor->m_cancels.erase(m_number);
    m_monitor.reset();
}

DisconnectMonitor::DisconnectMonitor(asio::ip::tcp::socket& socket)
    : m_socket(socket)
{
}

void DisconnectMonitor::start()
{
    m_active = true;
    auto self = shared_from_this();
    auto handler = [self](const boost::system::error_code& error) { self->onReadable(error); };
    m_socket.async_wait(asio::socket_base::wait_read, asio::bind_cancellation_slot(m_signal.slot(), handler));
}

void DisconnectMonitor::stop()
{
    if (!m_active)
        return;
    m_active = false;
    m_cancels.clear();
    m_signal.emit(asio::cancellation_type::total);
}

CancelRegistration DisconnectMonitor::callOnDisconnect(std::function<void()> cancel)
{
    auto number = ++m_registrations;
    m_cancels.emplace(number, std::move(cancel));
    return CancelRegistration(shared_from_this(), number);
}

void DisconnectMonitor::onReadable(const boost::system::error_code& error)
{
    if (!m_active || error == asio::error::operation_aborted)
        return;
    boost::system::error_code receiveError;
    m_socket.non_blocking(true, receiveError);
    char byte = 0;
    auto count = m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, receiveError);
    // Data of a pipelined request does not mean that the caller has disconnected.
    if (count > 0 || receiveError == asio::error::would_block)
        return;
    m_callerDisconnected = true;
    // A function may end registrations.
    auto cancels = m_cancels;
    for (auto& [number, cancel] : cancels) {
        if (m_cancels.contains(number))
            cancel();
    }
}

} // namespace Lavenderloft::Proxy
