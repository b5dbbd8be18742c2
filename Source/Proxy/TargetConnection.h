#pragma once

#include "Base/Clock.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <string>

namespace Lavenderloft::Proxy {

// A connection to a target, used by one request at a time.
struct TargetConnection {
    // Limit of what the parser keeps while it looks for the end of a head, a chunk header or a trailer.
    static constexpr size_t maximumBufferedBytes = 64 * 1024;

    explicit TargetConnection(const boost::asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    boost::beast::tcp_stream stream;
    // Bytes that were read beyond the last response.
    boost::beast::flat_buffer buffer { maximumBufferedBytes };
    std::string targetId;
    Base::TimePoint idleSince {};
    // Not reused after this time, because the target may close it.
    Base::TimePoint usableUntil {};
};

} // namespace Lavenderloft::Proxy
