#pragma once

#include "Base/Clock.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string>

namespace Lavenderloft::Proxy {

// A connection to a target; serves one request at a time.
struct TargetConnection {
    explicit TargetConnection(const boost::asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    // Bytes that were read beyond the last answer.
    boost::beast::flat_buffer buffer;
    std::string targetId;
    // It served a request before.
    bool reused = false;
    Base::TimePoint idleSince {};
    // The target may close it after this time.
    Base::TimePoint usableUntil {};
};

} // namespace Lavenderloft::Proxy
