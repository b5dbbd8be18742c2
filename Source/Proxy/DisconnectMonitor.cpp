#include "Proxy/DisconnectMonitor.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/buffer.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;

CancelRegistration::CancelRegistration(std::shared_ptr<DisconnectMonitor> monitor)
    : m_monitor(std::move(monitor))
{
}

CancelRegistration::CancelRegistration(CancelRegistration&&) noexcept = default;

CancelRegistration& CancelRegistration::operator=(CancelRegistration&& other) noexcept
{
    reset();
    m_monitor = std::move(other.m_monitor);
    return *this;
}

void CancelRegistration::reset()
{
    if (m_monitor)
        m_monitor->m_cancel = nullptr;
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
    m_cancel = nullptr;
    m_signal.emit(asio::cancellation_type::total);
}

CancelRegistration DisconnectMonitor::callOnDisconnect(std::function<void()> cancel)
{
    m_cancel = std::move(cancel);
    return CancelRegistration(shared_from_this());
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
    if (m_cancel)
        m_cancel();
}

} // namespace Lavenderloft::Proxy
