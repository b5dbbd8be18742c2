#include "Http/EventLoop.h"

#include "Http/TaskFailures.h"

namespace Lavenderloft::Http {

void runEventLoop(boost::asio::io_context& context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            // The handler is gone, and run() may be called again without restart().
            recordTaskFailure("handler", std::current_exception());
        }
    }
}

} // namespace Lavenderloft::Http
