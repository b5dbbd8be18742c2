#include "Http/WaitingConnections.h"

#include <tuple>

namespace Lavenderloft::Http {

WaitingConnections::Registration::Registration(WaitingConnections& connections, boost::beast::tcp_stream& stream)
    : m_connections(connections)
    , m_stream(stream)
{
    m_connections.m_open.emplace(&stream, this);
}

WaitingConnections::Registration::~Registration()
{
    if (m_isClosed)
        --m_connections.m_closing;
    m_connections.m_open.erase(&m_stream);
}

void WaitingConnections::Registration::startWaiting(Base::TimePoint now)
{
    m_isWaiting = true;
    m_waitingSince = now;
}

void WaitingConnections::Registration::stopWaiting()
{
    m_isWaiting = false;
}

WaitingConnections::Admission WaitingConnections::makeRoom()
{
    if (m_open.size() - m_closing < m_maximumConnections)
        return Admission::Free;
    Registration* longest = nullptr;
    auto rank = [](const Registration& connection) { return std::tuple(connection.m_hasResponded, connection.m_waitingSince); };
    for (auto& [stream, connection] : m_open) {
        if (!connection->m_isWaiting || connection->m_isClosed)
            continue;
        if (!longest || rank(*connection) < rank(*longest))
            longest = connection;
    }
    if (!longest)
        return Admission::Refused;
    longest->m_isClosed = true;
    ++m_closing;
    longest->m_stream.close();
    return Admission::Replaced;
}

} // namespace Lavenderloft::Http
