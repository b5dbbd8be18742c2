#pragma once

#include "Base/Clock.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string>

namespace Lavenderloft::Proxy {

// A connection to a target, used by one request at a time.
struct TargetConnection {
    explicit TargetConnection(const boost::asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    // Bytes that were read beyond the last response.
    boost::beast::flat_buffer buffer;
    std::string targetId;
    Base::TimePoint idleSince {};
    // Not reused after this time, because the target may close it.
    Base::TimePoint usableUntil {};
};

} // namespace Lavenderloft::Proxy
