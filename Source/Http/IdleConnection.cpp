#include "Http/IdleConnection.h"

#include <boost/asio/buffer.hpp>

namespace Lavenderloft::Http {

bool isReusable(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (error)
        return false;
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

} // namespace Lavenderloft::Http
