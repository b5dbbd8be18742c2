#include "Standin/Timer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace Lavenderloft::Standin {

namespace asio = boost::asio;

struct Timer::State {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { asio::make_work_guard(context) };
    std::thread thread;
};

Timer::Timer()
    : m_state(std::make_shared<State>())
{
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
}

Timer::~Timer()
{
    stop();
}

void Timer::runAfter(std::chrono::nanoseconds delay, std::function<void()> function)
{
    auto timer = std::make_shared<asio::steady_timer>(m_state->context, std::chrono::duration_cast<asio::steady_timer::duration>(delay));
    timer->async_wait([timer, function = std::move(function)](boost::system::error_code error) {
        if (!error)
            function();
    });
}

void Timer::stop()
{
    m_state->work.reset();
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

} // namespace Lavenderloft::Standin
