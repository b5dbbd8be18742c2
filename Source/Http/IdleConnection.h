#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Lavenderloft::Http {

// Whether a connection is still open and has received no data that no request asked for. Does not block.
bool isReusable(boost::asio::ip::tcp::socket&);

} // namespace Lavenderloft::Http
