#include "Http/TaskSupervisor.h"

#include "Http/Events.h"
#include "Http/TaskFailures.h"
#include "Observability/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>

namespace Lavenderloft::Http {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds restartDelay { 500 };

    struct Task {
        asio::io_context& context;
        std::string name;
        std::function<asio::awaitable<void>()> start;
    };

    void startRun(const std::shared_ptr<Task>&);

    void startAfterDelay(const std::shared_ptr<Task>& task)
    {
        auto timer = std::make_shared<asio::steady_timer>(task->context, restartDelay);
        timer->async_wait([task, timer](const boost::system::error_code& error) {
            if (!error)
                startRun(task);
        });
    }

    // One run of a task, which is started again unless the run has returned. An exception inside an operation that the task
    // awaits does not reach the task, but destroys its coroutine, so that only a destructor notices.
    class TaskRun {
    public:
        explicit TaskRun(std::shared_ptr<Task> task)
            : m_task(std::move(task))
        {
        }

        TaskRun(const TaskRun&) = delete;
        TaskRun& operator=(const TaskRun&) = delete;

        ~TaskRun()
        {
            if (m_hasReturned || m_task->context.stopped())
                return;
            guardTask(m_task->name, [this] {
                Observability::logEvent(Events::taskFailed, { { "task", m_task->name }, { "problem", m_problem } });
                startAfterDelay(m_task);
            });
        }

        void recordReturn() { m_hasReturned = true; }
        void recordProblem(const char* problem) { m_problem = problem; }

    private:
        std::shared_ptr<Task> m_task;
        std::string m_problem = "an operation that it awaited ended with an exception";
        bool m_hasReturned = false;
    };

    asio::awaitable<void> runOnce(std::shared_ptr<Task> task)
    {
        TaskRun run(task);
        try {
            co_await task->start();
            run.recordReturn();
        } catch (const std::exception& error) {
            run.recordProblem(error.what());
        }
    }

    void startRun(const std::shared_ptr<Task>& task)
    {
        asio::co_spawn(
            task->context, [task] { return runOnce(task); }, asio::detached);
    }

} // namespace

void superviseTask(asio::io_context& context, std::string name, std::function<asio::awaitable<void>()> start)
{
    startRun(std::make_shared<Task>(Task { context, std::move(name), std::move(start) }));
}

} // namespace Lavenderloft::Http
