#include "Http/WaitingConnections.h"

#include <chrono>
#include <tuple>

namespace Lavenderloft::Http {

namespace {

    // A peer that has sent nothing of a body for longer counts as one that waits.
    constexpr std::chrono::seconds maximumPartInterval { 1 };
    // Bounds the work for one new connection.
    constexpr unsigned maximumDeferrals = 8;

    bool hasUnreadBytes(boost::beast::tcp_stream& stream)
    {
        boost::system::error_code error;
        return stream.socket().available(error) > 0;
    }

} // namespace

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
    m_hasHead = false;
    m_waitingSince = now;
}

void WaitingConnections::Registration::recordPart(Base::TimePoint now)
{
    m_hasHead = true;
    m_waitingSince = now;
}

void WaitingConnections::Registration::stopWaiting()
{
    m_isWaiting = false;
}

bool WaitingConnections::isSending(const Registration& connection, Base::TimePoint now)
{
    return connection.m_hasHead && now - connection.m_waitingSince < maximumPartInterval;
}

WaitingConnections::Registration* WaitingConnections::findLongestWaiting(Base::TimePoint now) const
{
    Registration* longest = nullptr;
    auto rank = [&](const Registration& connection) { return std::tuple(connection.m_hasResponded, isSending(connection, now), connection.m_waitingSince); };
    for (auto& [stream, connection] : m_open) {
        if (!connection->m_isWaiting || connection->m_isClosed)
            continue;
        if (!longest || rank(*connection) < rank(*longest))
            longest = connection;
    }
    return longest;
}

WaitingConnections::Admission WaitingConnections::makeRoom(Base::TimePoint now)
{
    if (m_open.size() - m_closing < m_maximumConnections)
        return Admission::Free;
    auto* longest = findLongestWaiting(now);
    for (unsigned i = 0; longest && i < maximumDeferrals && hasUnreadBytes(longest->m_stream); ++i) {
        longest->m_waitingSince = now;
        longest = findLongestWaiting(now);
    }
    if (!longest)
        return Admission::Refused;
    longest->m_isClosed = true;
    ++m_closing;
    longest->m_stream.close();
    return Admission::Replaced;
}

} // namespace Lavenderloft::Http
