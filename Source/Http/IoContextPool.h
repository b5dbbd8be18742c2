#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace Lavenderloft::Http {

// Threads with an event loop each. What belongs to one loop is touched by that loop's thread only.
class IoContextPool {
public:
    explicit IoContextPool(unsigned count);
    ~IoContextPool();

    size_t size() const { return m_workers.size(); }
    boost::asio::io_context& context(size_t index) { return m_workers[index % m_workers.size()]->context; }

    // Runs the first loop on the calling thread and the others on threads of their own until stop().
    void run();

    // Ends all loops; may be called from any of them.
    void stop();

private:
    struct Worker {
        boost::asio::io_context context { 1 };
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    };

    std::vector<std::unique_ptr<Worker>> m_workers;
    std::vector<std::thread> m_threads;
};

} // namespace Lavenderloft::Http
