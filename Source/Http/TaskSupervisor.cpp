#include "Http/TaskSupervisor.h"

#include "Http/Events.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <exception>

namespace Lavenderloft::Http {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds restartDelay { 500 };

    asio::awaitable<void> runRepeatedly(asio::io_context& context, std::string name, std::function<asio::awaitable<void>()> start)
    {
        while (true) {
            std::string problem;
            try {
                co_await start();
                co_return;
            } catch (const std::exception& error) {
                problem = error.what();
            }
            Observability::logEvent(Events::taskFailed, { { "task", name }, { "problem", problem } });
            co_await sleepFor(context, restartDelay);
        }
    }

} // namespace

void superviseTask(asio::io_context& context, std::string name, std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(context, runRepeatedly(context, std::move(name), std::move(start)), asio::detached);
}

} // namespace Lavenderloft::Http
