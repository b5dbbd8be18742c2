#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace Lavenderloft::Http {

// Event loops with one thread each. Objects of a loop are accessed by its thread only and need no locks.
class IoContextPool {
public:
    explicit IoContextPool(unsigned count);
    ~IoContextPool();

    size_t size() const { return m_loops.size(); }
    boost::asio::io_context& context(size_t index) { return m_loops[index % m_loops.size()]->context; }

    // Runs the first loop on the calling thread and each other loop on a new thread; returns after stop().
    void run();

    // Stops all loops. May be called on any thread.
    void stop();

private:
    struct EventLoop {
        boost::asio::io_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    };

    std::vector<std::unique_ptr<EventLoop>> m_loops;
    std::vector<std::thread> m_threads;
};

} // namespace Lavenderloft::Http
