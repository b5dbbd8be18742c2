#pragma once

#include "Base/Clock.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <unordered_map>

namespace Lavenderloft::Http {

// The open connections of a server on one event loop, and which of them wait for their peer to send a request. When no
// other connection may be opened, the one that waits longest is closed: what it has sent of a request has not run. Those
// whose peers are sending a body are closed last, as these may be slow callers within the limits.
class WaitingConnections {
public:
    explicit WaitingConnections(size_t maximumConnections)
        : m_maximumConnections(maximumConnections)
    {
    }

    // Counts a connection as open for as long as this object exists.
    class Registration {
    public:
        Registration(WaitingConnections&, boost::beast::tcp_stream&);
        Registration(const Registration&) = delete;
        Registration& operator=(const Registration&) = delete;
        ~Registration();

        // The peer has to send a request, or the rest of it, from the given time on.
        void startWaiting(Base::TimePoint);
        void stopWaiting();

        // The head of a request or a part of its body has arrived. The peer has to send the rest from the given time on.
        void recordPart(Base::TimePoint);

        // A connection that was closed to make room for another one.
        bool isClosed() const { return m_isClosed; }

        // The connection has had a response, so that those without any are closed before it.
        void recordResponse() { m_hasResponded = true; }

    private:
        friend class WaitingConnections;

        WaitingConnections& m_connections;
        boost::beast::tcp_stream& m_stream;
        Base::TimePoint m_waitingSince {};
        bool m_isWaiting = false;
        bool m_hasHead = false;
        bool m_hasResponded = false;
        bool m_isClosed = false;
    };

    enum class Admission {
        Free,
        // Another connection was closed.
        Replaced,
        Refused,
    };

    // Makes room for a connection that was accepted and is not registered yet. A connection on which something has arrived
    // that was not read yet counts as one that has just begun to wait.
    Admission makeRoom(Base::TimePoint now);

    size_t count() const { return m_open.size(); }

private:
    Registration* findLongestWaiting(Base::TimePoint now) const;
    static bool isSending(const Registration&, Base::TimePoint now);

    const size_t m_maximumConnections;
    std::unordered_map<boost::beast::tcp_stream*, Registration*> m_open;
    // Connections that were closed and have not ended yet.
    size_t m_closing = 0;
};

} // namespace Lavenderloft::Http
