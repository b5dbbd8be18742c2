#pragma once

#include <boost/asio/io_context.hpp>

namespace Lavenderloft::Http {

// Runs the handlers of an event loop until it has none left or is stopped. An exception that leaves a handler is logged and
// counted, and the loop goes on with the next one.
void runEventLoop(boost::asio::io_context&);

} // namespace Lavenderloft::Http
